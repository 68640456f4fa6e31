//! The cancellation of jobs in the simulation. A user requests it, the lender records the request, and
//! the cancellation is confirmed once no loan is open.

use milletlock_cells::Lending;
use rand::Rng;

use super::store::{borrowed_key, cancelled_key, done_key, lending_key, Record, Txn};
use super::Simulation;

impl Simulation {
    /// Requests the cancellation of a random job, as a user.
    pub fn request_cancellation(&mut self) {
        let jobs = self.job_ids();
        let job = &jobs[self.rng.random_range(0..jobs.len())];
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancel_requested = true;
        }
    }

    /// Takes the next step of each requested cancellation: records the request or, once the request is
    /// recorded and no loan is open, writes that the job is cancelled.
    pub fn confirm_cancellations(&mut self, cell_index: usize) {
        let is_requested =
            |job: &String| self.jobs[job].lender == cell_index && self.jobs[job].cancel_requested;
        let requested: Vec<String> = self.job_ids().into_iter().filter(is_requested).collect();
        for job in requested {
            if self.is_ended(&job) || self.cells[cell_index].leader.is_unresolved(&lending_key(&job)) {
                continue;
            }
            let lending = self.cells[cell_index].leader.lender.lending(&job).cloned().unwrap_or_default();
            if !lending.cancelling {
                self.write_lending(cell_index, &job, Lending { cancelling: true, ..lending });
            } else if lending.loans.is_empty() {
                self.write_end(cell_index, &job);
            }
        }
        self.check_confirmed(cell_index);
    }

    /// Whether all tasks of a job are recorded as done, or the job is recorded as cancelled.
    pub fn is_ended(&self, job: &str) -> bool {
        let store = &self.cells[self.jobs[job].lender].store;
        store.done(&done_key(job)).len() == self.jobs[job].tasks || store.contains(&cancelled_key(job))
    }

    fn write_end(&mut self, cell_index: usize, job: &str) {
        let leader = &self.cells[cell_index].leader;
        let guards = vec![leader.guard(lending_key(job)), (cancelled_key(job), 0)];
        let writes = vec![(lending_key(job), None), (cancelled_key(job), Some(Record::Cancelled))];
        let txn = Txn { term: leader.term, guards, writes };
        self.write(cell_index, txn, None);
    }

    /// Confirms the jobs that the state store records as cancelled, and asserts that no cell can still run
    /// tasks of them.
    fn check_confirmed(&mut self, cell_index: usize) {
        for job in self.job_ids() {
            let is_confirmed = self.cells[cell_index].store.contains(&cancelled_key(&job));
            if self.jobs[&job].lender != cell_index || !is_confirmed {
                continue;
            }
            self.cells[cell_index].running.retain(|task| task.0 != job);
            self.cells[cell_index].results.retain(|task| task.0 != job);
            self.assert_not_borrowed(&job);
            self.confirmed_cancelled.insert(job);
        }
    }

    fn assert_not_borrowed(&self, job: &str) {
        for cell in &self.cells {
            let Some(Record::Borrowed(borrowed)) = cell.store.get(&borrowed_key(job)) else { continue };
            let may_run = |number: &u32| !self.finished.contains_key(&(job.to_string(), *number));
            let remaining: Vec<u32> = borrowed.tasks().iter().filter(may_run).collect();
            assert!(
                remaining.is_empty(),
                "{job} is confirmed as cancelled, but {} may run {remaining:?}",
                cell.name
            );
        }
    }
}
