//! Checks of a whole world: that it comes to rest without faults, and that nothing was lost.

use super::{Cell, Faults, World};

/// Steps within which a world without faults comes to rest.
const MAX_STEPS_TO_REST: usize = 4_000;

impl World {
    /// Ends the faults and runs until all jobs have ended and no loan is left.
    pub fn run_to_rest(&mut self) {
        self.faults = Faults::NONE;
        for _ in 0..MAX_STEPS_TO_REST {
            self.step();
            if self.jobs.keys().all(|job| self.is_ended(job)) && self.cells.iter().all(has_no_loans) {
                return;
            }
        }
        let open: Vec<&String> = self.jobs.keys().filter(|job| !self.is_ended(job)).collect();
        panic!("not at rest: {open:?}, or loans that are left");
    }

    /// Asserts that each task of a job that was not cancelled has finished exactly once: the tallies of
    /// the cells add up to all of them.
    pub fn assert_tally(&self) {
        let goes_on = |job: &str| !self.confirmed_cancelled.contains(job);
        let wanted: u32 = self.jobs.iter().filter(|(id, _)| goes_on(id)).map(|(_, job)| job.tasks).sum();
        let mut tally = vec![0; self.cells.len()];
        for (task, cell) in &self.finished {
            if goes_on(&task.0) {
                tally[*cell] += 1;
            }
        }
        assert_eq!(tally.iter().sum::<u32>(), wanted, "the tally by cell is {tally:?}");
    }

    /// How many tasks finished at a borrower.
    pub fn finished_at_borrowers(&self) -> usize {
        self.finished.iter().filter(|(task, cell)| self.jobs[&task.0].lender != **cell).count()
    }

    /// How many jobs were confirmed as cancelled.
    pub fn cancelled(&self) -> usize {
        self.confirmed_cancelled.len()
    }
}

fn has_no_loans(cell: &Cell) -> bool {
    let holds_none = cell.leader.borrower.jobs().next().is_none();
    holds_none && cell.leader.lender.jobs().all(|(_, lending)| lending.loans.is_empty())
}
