//! The users of the simulated cluster: they submit jobs and cancel them.

use std::collections::BTreeSet;

use milletlock::time::{Micros, Steady};
use milletlock::wire::{Priority, Stage};
use rand::Rng;

use super::Simulation;
use crate::common::store::submission;
use crate::common::worker::job_of;
use crate::common::{record, spec};

impl Simulation {
    /// A user submits a job of random shape, size and constraints.
    pub(super) fn submit(&mut self, job_number: u32) {
        let shape = if self.rng.random_bool(0.3) { "gang" } else { "batch" };
        let tasks = if shape == "gang" { self.rng.random_range(1..4) } else { self.rng.random_range(1..12) };
        let mut spec = spec(job_number, tasks, shape);
        if self.rng.random_bool(0.3) {
            spec.team = "tight".into();
        }
        spec.one_zone = self.rng.random_bool(0.3);
        spec.spread = !spec.one_zone && self.rng.random_bool(0.3);
        spec.spot = self.rng.random_bool(0.6);
        if self.rng.random_bool(0.2) && !spec.spread {
            spec.zone = Some("south".into());
        }
        if self.faults.mixed_load {
            spec.priority = [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Critical]
                [self.rng.random_range(0..4)];
        }
        let mut job_record = record(spec.clone());
        job_record.submitted_us = self.now.0;
        let txn = submission(&job_record);
        assert!(self.store.txn(&txn).is_ok());
        if self.faults.mixed_load && self.chance(0.2) {
            // A copy of the same submission, sent earlier without a reply, arrives late.
            let at = self.later(2.0, 60.0);
            self.late_transactions.push((at, txn));
        }
        self.specs.insert(spec.id.clone(), spec);
    }

    /// A user requests the cancellation of a job, and repeats the request until a reply tells how the job
    /// ended. The first request is sent at `at`.
    pub(super) fn request_cancellation(&mut self, id: &str, at: Steady) {
        if self.specs.contains_key(id) && self.cancel_requested.insert(id.to_string()) {
            self.cancel_retries.insert(id.to_string(), at);
        }
    }

    /// Cancels some of the jobs with tasks on a machine, or on any machine if `machine` is none, within 12 s.
    pub(super) fn cancel_on_faulty_machine(&mut self, machine: Option<usize>) {
        let ids: BTreeSet<String> = (0..self.workers.len())
            .filter(|w| machine.is_none_or(|m| m == *w))
            .flat_map(|w| self.workers[w].state.executing())
            .map(|attempt| job_of(&attempt.0).to_string())
            .collect();
        for id in ids {
            if self.chance(self.faults.cancel_on_faulty_machine) {
                let at = self.later(0.0, 12.0);
                self.request_cancellation(&id, at);
            }
        }
    }

    /// Users send the cancellations that are due, and receive replies that tell how the jobs ended.
    pub(super) fn send_cancellations(&mut self) {
        if self.state_store_unavailable() || self.leaders.is_empty() {
            return;
        }
        let due: Vec<String> =
            self.cancel_retries.iter().filter(|a| *a.1 <= self.now).map(|a| a.0.clone()).collect();
        for id in due {
            if let Some(txn) = self.store.cancellation(&self.specs[&id]) {
                if self.chance(0.05 + self.faults.late_writes) {
                    // The user receives no reply and sends the cancellation again.
                    let at = self.later(2.0, 12.0);
                    self.late_transactions.push((at, txn));
                    self.cancel_retries.insert(id, self.now + Micros::from_secs(1.0));
                    continue;
                }
                assert!(self.store.txn(&txn).is_ok());
            }
            let stage = self.store.final_stage(&id).expect("forgotten: no record of a job");
            if stage == Stage::Cancelled {
                self.cancelled.insert(id.clone(), self.now);
            }
            self.cancel_retries.remove(&id);
        }
    }
}
