# Operators' settings of one cell of three. Given with --operator; each cell has a file of its own.
# Without the block nothing is lent, borrowed, written or sent.
cells {
  name = "north"

  # The other cells, with the addresses at which their controllers hear other controllers.
  others = [
    { name = "south", controllers = ["10.2.0.1:8081", "10.2.0.2:8081", "10.2.0.3:8081"] },
    { name = "west", controllers = ["10.3.0.1:8081", "10.3.0.2:8081", "10.3.0.3:8081"] },
  ]

  # Classes of arrays that may run elsewhere, and those that are taken on for others; "*" is all.
  lend   = ["rating"]
  borrow = ["rating"]

  # Processors' worth of borrowed tasks at a time. What is beyond is kept for own work.
  borrow_cpus = 64

  # Nothing of a job is lent before it has waited this long, in seconds.
  lend_after_s = 15

  # Optional: how many tasks of a job to lend to a cell now. It sees numbers only (docs/operating-cells.md).
  script = <<-EOT
    fn portion(view) {
      // Short tasks are not worth the way.
      if view.task_s < 5.0 { return 0; }
      view.default_portion
    }
  EOT
}
