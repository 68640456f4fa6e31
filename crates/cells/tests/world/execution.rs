//! The tasks on the simulated machines: which tasks may start, and how they start, finish and are recorded.

use std::collections::BTreeSet;

use milletlock_cells::{Lending, LocalTasks, TaskSet};

use super::machines::Machines;
use super::store::{borrowed_done_key, borrowed_key, cancelled_key, done_key, lending_key, Record, Txn};
use super::{Simulation, Task};

impl Simulation {
    /// Stops the tasks of a borrowed job that are not borrowed any more.
    pub fn stop_unborrowed_tasks(&mut self, cell_index: usize, job: &str) {
        if self.jobs[job].lender == cell_index {
            return;
        }
        let cell = &mut self.cells[cell_index];
        let borrowed = cell.leader.borrower.job(job).map(|record| record.tasks()).unwrap_or_default();
        let may_remain = |task: &Task| task.0 != job || borrowed.contains(task.1);
        cell.running.retain(may_remain);
        cell.results.retain(may_remain);
    }

    fn is_cancelling(&self, cell_index: usize, job: &str) -> bool {
        let store = &self.cells[cell_index].store;
        let is_recorded = match store.get(&lending_key(job)) {
            Some(Record::Lending(lending)) => lending.cancelling,
            _ => false,
        };
        is_recorded || store.contains(&cancelled_key(job))
    }

    /// The tasks of an own job that may start or be lent: they are not done, not on a machine, not lent and
    /// not withheld, and the job is not being cancelled.
    pub fn startable_own(&self, cell_index: usize, job: &str) -> Vec<u32> {
        let cell = &self.cells[cell_index];
        if self.jobs[job].lender != cell_index || self.is_cancelling(cell_index, job) {
            return Vec::new();
        }
        let lent = cell.leader.lender.lending(job).map(Lending::tasks).unwrap_or_default();
        let done = cell.store.done(&done_key(job));
        let is_free = |number: &u32| {
            let task = (job.to_string(), *number);
            !lent.contains(*number)
                && !done.contains(*number)
                && !cell.leader.is_withheld(job, *number)
                && !cell.running.contains(&task)
                && !cell.results.contains(&task)
        };
        (0..self.jobs[job].tasks).filter(is_free).collect()
    }

    /// The borrowed tasks of a job that may start.
    fn startable_borrowed(&self, cell_index: usize, job: &str) -> Vec<u32> {
        let cell = &self.cells[cell_index];
        let Some(record) = cell.leader.borrower.job(job) else { return Vec::new() };
        let unstarted = Machines::of(cell, 0).unstarted(job, &record.tasks());
        unstarted.iter().filter(|number| !cell.leader.is_withheld(job, *number)).collect()
    }

    /// Starts tasks until the cell's machines are full.
    pub fn start_some(&mut self, cell_index: usize) {
        for job in self.job_ids() {
            let startable =
                [self.startable_own(cell_index, &job), self.startable_borrowed(cell_index, &job)].concat();
            for number in startable {
                if self.cells[cell_index].running.len() >= self.cells[cell_index].slots {
                    return;
                }
                self.start(cell_index, (job.clone(), number));
            }
        }
    }

    fn start(&mut self, cell_index: usize, task: Task) {
        assert!(
            !self.confirmed_cancelled.contains(&task.0),
            "{task:?} starts in cell {cell_index} although its job is confirmed as cancelled"
        );
        let before = self.started.insert(task.clone(), cell_index);
        assert_eq!(before, None, "{task:?} starts a second time, in cell {cell_index}");
        self.cells[cell_index].running.insert(task);
    }

    /// Finishes each running task with a probability of one half.
    pub fn finish_some(&mut self, cell_index: usize) {
        let running: Vec<Task> = self.cells[cell_index].running.iter().cloned().collect();
        for task in running {
            if self.chance(500) {
                self.cells[cell_index].running.remove(&task);
                self.cells[cell_index].results.insert(task.clone());
                assert_eq!(
                    self.finished.insert(task.clone(), cell_index),
                    None,
                    "{task:?} finishes a second time"
                );
            }
        }
    }

    /// Records the results on the machines. The machines keep a result until it is certainly recorded.
    pub fn record_results(&mut self, cell_index: usize) {
        let jobs: BTreeSet<String> =
            self.cells[cell_index].results.iter().map(|(job, _)| job.clone()).collect();
        for job in jobs {
            let is_own = self.jobs[&job].lender == cell_index;
            let key = if is_own { done_key(&job) } else { borrowed_done_key(&job) };
            let of_job = self.cells[cell_index].results.iter().filter(|task| task.0 == job);
            let new: TaskSet = of_job.map(|task| task.1).collect();
            self.record_done(cell_index, &job, &key, &new);
            let recorded = self.cells[cell_index].store.done(&key);
            self.cells[cell_index].results.retain(|task| task.0 != job || !recorded.contains(task.1));
        }
    }

    /// Adds tasks to the done tasks recorded under a key.
    pub fn record_done(&mut self, cell_index: usize, job: &str, key: &str, new: &TaskSet) {
        let cell = &self.cells[cell_index];
        let all = cell.store.done(key).union(new);
        // The job's own record is guarded too. Otherwise a transaction that is applied late could recreate
        // the done tasks after they were deleted together with the job's record.
        let job_key = if key == done_key(job) { lending_key(job) } else { borrowed_key(job) };
        let guards =
            vec![(key.to_string(), cell.store.version(key)), (job_key.clone(), cell.store.version(&job_key))];
        let writes = vec![(key.to_string(), Some(Record::Done(all)))];
        let txn = Txn { term: cell.leader.term, guards, writes };
        self.send_txn(cell_index, &txn);
    }
}
