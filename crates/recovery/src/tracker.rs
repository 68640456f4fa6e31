//! The evidence for each machine, and what it adds up to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::difference::{Difference, JobRecordState, RecordedJobs, ReportedTask, TaskState};
use crate::progress::{DifferenceCounts, OrderCounts, OrderKind, Progress};

/// What is known of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing yet: whatever may be on it is neither started elsewhere nor missed.
    Unheard,
    /// It has shown the owner's token.
    Reported,
    /// It is gone, or its lease certainly over.
    Lost,
}

/// Where a task was reported.
type Places = BTreeMap<(String, u32), Vec<String>>;

/// A recovery, from a takeover until some time after all machines are heard or lost.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    machines: BTreeMap<String, Evidence>,
    /// Machines whose first report has been compared with the records.
    compared: BTreeSet<String>,
    unheard: u64,
    /// Reported tasks that are present; dropped once all machines are heard or lost.
    places: Places,
    /// Tasks of gangs that are present, by job and attempt.
    gangs: BTreeMap<(String, u64), BTreeSet<u32>>,
    gang_sizes: BTreeMap<String, u32>,
    adopted: u64,
    lost: u64,
    differences: DifferenceCounts,
    orders: OrderCounts,
    settled: Option<Duration>,
}

impl Recovery {
    /// A machine that the records name. Nothing is known of it yet.
    pub fn expect(&mut self, machine: &str) {
        if self.machines.insert(machine.to_string(), Evidence::Unheard).is_none() {
            self.unheard += 1;
        }
    }

    /// What is known of a machine; none if the records do not name it.
    pub fn evidence(&self, machine: &str) -> Option<Evidence> {
        self.machines.get(machine).copied()
    }

    /// Whether machines are still to be heard and, this long after the takeover, may be within moments:
    /// what depends on how they are used, and can wait, is not decided before.
    pub fn is_gathering(&self, after: Duration, window: Duration) -> bool {
        self.unheard > 0 && after < window
    }

    /// Compares a machine's first report with the records; returns the differences. It is the first one that
    /// shows what was there before the takeover, whatever token it shows: by the next, what it told may be
    /// recorded.
    pub fn compare(
        &mut self,
        machine: &str,
        tasks: &[ReportedTask<'_>],
        records: &impl RecordedJobs,
    ) -> Vec<(String, u32, Difference)> {
        let is_expected = self.evidence(machine) == Some(Evidence::Unheard);
        if !is_expected || !self.compared.insert(machine.to_string()) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for task in tasks {
            let difference = Difference::of(task, records).or_else(|| self.adopt(machine, task, records));
            if let Some(difference) = difference {
                self.differences.add(difference);
                found.push((task.job.to_string(), task.task, difference));
            }
        }
        found
    }

    /// A machine has shown the owner's token: nothing of an earlier owner can reach it any more.
    pub fn hear(&mut self, machine: &str, after: Duration) {
        if self.evidence(machine) != Some(Evidence::Unheard) {
            return;
        }
        self.machines.insert(machine.to_string(), Evidence::Reported);
        self.unheard -= 1;
        self.settle(after);
    }

    /// Takes a task that is where it may be; the difference if it is elsewhere too.
    fn adopt(
        &mut self,
        machine: &str,
        task: &ReportedTask<'_>,
        records: &impl RecordedJobs,
    ) -> Option<Difference> {
        if task.state != TaskState::Present {
            return None;
        }
        if let JobRecordState::LiveGang(tasks) = records.job(task.job) {
            self.gang_sizes.insert(task.job.to_string(), tasks);
            self.gangs.entry((task.job.to_string(), task.attempt)).or_default().insert(task.task);
        }
        let places = self.places.entry((task.job.to_string(), task.task)).or_default();
        places.push(machine.to_string());
        if places.len() > 1 {
            return Some(Difference::PlacedTwice);
        }
        self.adopted += 1;
        None
    }

    /// A machine that was not heard is given up.
    pub fn lose(&mut self, machine: &str, after: Duration) {
        if self.evidence(machine) != Some(Evidence::Unheard) {
            return;
        }
        self.machines.insert(machine.to_string(), Evidence::Lost);
        self.unheard -= 1;
        self.lost += 1;
        self.differences.add(Difference::MachineLost);
        self.settle(after);
    }

    /// Ends the gathering once all machines are heard or lost.
    fn settle(&mut self, after: Duration) {
        if self.unheard > 0 || self.settled.is_some() {
            return;
        }
        self.settled = Some(after);
        let size = |job: &String| self.gang_sizes.get(job).copied().unwrap_or(0) as usize;
        let partial = self.gangs.iter().filter(|((job, _), tasks)| tasks.len() < size(job)).count();
        (0..partial).for_each(|_| self.differences.add(Difference::PartialGang));
        self.compared.clear();
        self.places.clear();
        self.gangs.clear();
        self.gang_sizes.clear();
    }

    /// Counts an order to a worker.
    pub fn note_order(&mut self, kind: OrderKind) {
        self.orders.add(kind);
    }

    /// Whether all machines are heard or lost.
    pub fn is_settled(&self) -> bool {
        self.unheard == 0
    }

    /// How far it has come.
    pub fn progress(&self, after: Duration) -> Progress {
        Progress {
            after_s: after.as_secs_f64(),
            machines: self.machines.len() as u64,
            unheard: self.unheard,
            lost: self.lost,
            adopted: self.adopted,
            differences: self.differences.clone(),
            orders: self.orders,
            settled_s: self.settled.map(|settled| settled.as_secs_f64()),
        }
    }
}
