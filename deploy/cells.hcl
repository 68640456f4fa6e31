# Example of the operators' settings of one of three cells. Each cell has its own file, given by --operator.
# Without the cells block, the cell lends and borrows nothing, sends no messages to other cells and writes no
# records of loans.
cells {
  name = "north"

  # The other cells, with the addresses at which their controllers listen for other controllers.
  others = [
    { name = "south", controllers = ["10.2.0.1:8081", "10.2.0.2:8081", "10.2.0.3:8081"] },
    { name = "west", controllers = ["10.3.0.1:8081", "10.3.0.2:8081", "10.3.0.3:8081"] },
  ]

  # Classes of job arrays that this cell lends to other cells and borrows from them; "*" means all classes.
  lend   = ["rating"]
  borrow = ["rating"]

  # Maximum number of processors that borrowed tasks may use at a time. The other processors are reserved for
  # this cell's own tasks.
  borrow_cpus = 64

  # Seconds that a job must have waited before any of its tasks are lent.
  lend_after_s = 15

  # Optional script that returns how many tasks of a job to lend to a cell now. Its input is numbers only
  # (docs/operating-cells.md).
  script = <<-EOT
    fn portion(view) {
      // Tasks shorter than 5 s are not worth the cost of a loan.
      if view.task_s < 5.0 { return 0; }
      view.default_portion
    }
  EOT
}
