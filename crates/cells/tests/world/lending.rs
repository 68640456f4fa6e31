//! The lender's side of the simulation: makes loans, sends them to the borrowers and applies the replies.

use milletlock_cells::{Lending, Loan, LoanAction, LoanNumber, LoanOffer, TaskSet};
use rand::Rng;
use serde_json::json;

use super::messages::{Message, Reply};
use super::store::{cancelled_key, done_key, lending_key, Record, Txn};
use super::Simulation;

/// Tasks of a job are lent only if at least this many of its tasks may start.
const MIN_LENDABLE: usize = 3;

impl Simulation {
    /// Lends some unstarted tasks of a random job to a random cell.
    pub fn lend(&mut self, cell_index: usize) {
        let jobs = self.job_ids();
        let job = jobs[self.rng.random_range(0..jobs.len())].clone();
        let borrower = self.rng.random_range(0..self.cells.len());
        let startable = self.startable_own(cell_index, &job);
        let is_unresolved = self.cells[cell_index].leader.is_unresolved(&lending_key(&job));
        if borrower == cell_index || startable.len() < MIN_LENDABLE || is_unresolved {
            return;
        }
        let count = self.rng.random_range(1..startable.len());
        let tasks: TaskSet = startable.into_iter().rev().take(count).collect();
        let borrower = self.cells[borrower].name.clone();
        let leader = &mut self.cells[cell_index].leader;
        let Some(number) = leader.lender.next_number() else { return };
        // The lender must stop starting these tasks before it sends the write.
        leader.withheld.insert(job.clone(), tasks.clone());
        leader.loans_in_flight.insert(job.clone(), number);
        let lending = leader.lender.with_loan(&job, Loan { number, borrower, tasks });
        self.write_lending(cell_index, &job, lending);
    }

    /// Writes the loans in a job's record.
    pub fn write_lending(&mut self, cell_index: usize, job: &str, lending: Lending) {
        let leader = &self.cells[cell_index].leader;
        let key = lending_key(job);
        let guards = vec![leader.guard(key.clone()), (cancelled_key(job), 0)];
        let writes = vec![(key, Some(Record::Lending(lending)))];
        let txn = Txn { term: leader.term, guards, writes };
        self.write(cell_index, txn, None);
    }

    /// Sends each other cell a message that lists all open loans to it.
    pub fn send_requests(&mut self, cell_index: usize) {
        let action = if self.rng.random_range(0..4) == 0 { LoanAction::Recall } else { LoanAction::Run };
        for to in (0..self.cells.len()).filter(|to| *to != cell_index).collect::<Vec<_>>() {
            let (jobs, cell) = (&self.jobs, &self.cells[cell_index]);
            let offer = |job: &str, number: LoanNumber| {
                let is_accepted = cell.leader.accepted.contains(&number);
                let description = json!({ "job": job });
                (!is_accepted).then(|| LoanOffer { description, job_tasks: jobs[job].tasks })
            };
            let borrower = &self.cells[to].name;
            let term = cell.leader.term;
            let request = cell.leader.lender.request(&cell.name, borrower, term, |_, _| action, offer);
            self.post(|| Message::Request { to, request: request.clone() });
        }
    }

    /// Applies the reports in a borrower's reply.
    pub fn handle_reply(&mut self, cell_index: usize, from: usize, reply: &Reply) {
        let borrower = self.cells[from].name.clone();
        for report in &reply.reports {
            let cell = &self.cells[cell_index];
            let recorded = |job: &str| cell.store.done(&done_key(job));
            let change = cell.leader.lender.change_for_report(&borrower, report, recorded);
            let Some(change) = change.expect("all reports agree with the ledger") else { continue };
            self.cells[cell_index].leader.accepted.insert(report.number);
            if !change.done.is_empty() {
                self.record_done(cell_index, &change.job, &done_key(&change.job), &change.done);
            }
            if let Some(lending) = change.lending {
                if !self.cells[cell_index].leader.is_unresolved(&lending_key(&change.job)) {
                    self.write_lending(cell_index, &change.job, lending);
                }
            }
        }
    }
}
