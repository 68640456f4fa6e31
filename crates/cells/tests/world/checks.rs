//! Checks at the end of a simulation: all jobs end once there are no more faults, and no task was lost.

use super::{Cell, Faults, Simulation};

/// The number of steps without faults within which all jobs must end.
const MAX_STEPS_WITHOUT_FAULTS: usize = 4_000;

impl Simulation {
    /// Disables the faults and runs until all jobs have ended and all loans are closed.
    pub fn run_until_all_jobs_end(&mut self) {
        self.faults = Faults::NONE;
        for _ in 0..MAX_STEPS_WITHOUT_FAULTS {
            self.step();
            if self.jobs.keys().all(|job| self.is_ended(job)) && self.cells.iter().all(has_no_loans) {
                return;
            }
        }
        let open: Vec<&String> = self.jobs.keys().filter(|job| !self.is_ended(job)).collect();
        panic!("without faults, jobs {open:?} do not end, or loans stay open");
    }

    /// Asserts that each task of the jobs that were not cancelled has finished exactly once: the numbers of
    /// tasks that finished in each cell add up to the number of all tasks.
    pub fn assert_each_finished_once(&self) {
        let is_not_cancelled = |job: &str| !self.confirmed_cancelled.contains(job);
        let wanted: u32 =
            self.jobs.iter().filter(|(id, _)| is_not_cancelled(id)).map(|(_, job)| job.tasks).sum();
        let mut finished_per_cell = vec![0; self.cells.len()];
        for (task, cell) in &self.finished {
            if is_not_cancelled(&task.0) {
                finished_per_cell[*cell] += 1;
            }
        }
        assert_eq!(
            finished_per_cell.iter().sum::<u32>(),
            wanted,
            "tasks finished per cell: {finished_per_cell:?}"
        );
    }

    /// The number of tasks that finished at a borrower.
    pub fn finished_at_borrowers(&self) -> usize {
        self.finished.iter().filter(|(task, cell)| self.jobs[&task.0].lender != **cell).count()
    }

    /// The number of jobs whose cancellation was confirmed.
    pub fn cancelled(&self) -> usize {
        self.confirmed_cancelled.len()
    }
}

fn has_no_loans(cell: &Cell) -> bool {
    let borrows_none = cell.leader.borrower.jobs().next().is_none();
    borrows_none && cell.leader.lender.jobs().all(|(_, lending)| lending.loans.is_empty())
}
