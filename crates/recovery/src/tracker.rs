//! Tracks which machines have reported since a failover, and what their reports add up to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::discrepancy::{
    Discrepancy, JobRecordState, RecordedJobs, ReportedTask, ReportedTaskState, TaskDiscrepancy,
};
use crate::progress::{CommandCounts, CommandKind, DiscrepancyCounts, RecoveryProgress};

/// What is known of a machine that the records name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStatus {
    /// It has not reported: whatever may be on it is neither started elsewhere nor taken for missing.
    NotReported,
    /// It has reported with this leader's fencing token.
    Reported,
    /// It is gone, or its lease has certainly expired.
    Lost,
}

/// A task, by its job's id and its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    job: String,
    task: u32,
}

/// An attempt to run a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GangAttempt {
    job: String,
    attempt: u64,
}

/// The tasks of an attempt of a gang that were reported.
#[derive(Clone, Debug, Default)]
struct ReportedGang {
    /// Number of tasks of the whole gang.
    size: u32,
    present: BTreeSet<u32>,
}

impl ReportedGang {
    fn is_partial(&self) -> bool {
        self.present.len() < self.size as usize
    }
}

/// Tracks a recovery, from a failover until some time after every machine has reported or is lost.
#[derive(Clone, Debug, Default)]
pub struct RecoveryTracker {
    machines: BTreeMap<String, MachineStatus>,
    /// Machines whose first report has been compared with the records.
    compared: BTreeSet<String>,
    not_reported: u64,
    /// Reported tasks that are present; dropped once every machine has reported or is lost.
    present: BTreeSet<TaskKey>,
    /// Reported gangs; dropped at the same time.
    gangs: BTreeMap<GangAttempt, ReportedGang>,
    adopted: u64,
    lost: u64,
    discrepancies: DiscrepancyCounts,
    commands: CommandCounts,
    completed_after: Option<Duration>,
}

impl RecoveryTracker {
    /// Adds a machine that the records name. Nothing is known of it yet.
    pub fn expect_machine(&mut self, machine: &str) {
        if self.machines.insert(machine.to_string(), MachineStatus::NotReported).is_none() {
            self.not_reported += 1;
        }
    }

    /// What is known of a machine; `None` if the records do not name it.
    pub fn machine_status(&self, machine: &str) -> Option<MachineStatus> {
        self.machines.get(machine).copied()
    }

    /// Whether some machines have not reported and, this long after the failover, may still do so within
    /// `window`. What depends on how they are used, and can wait, is not decided before.
    pub fn is_awaiting_reports(&self, after: Duration, window: Duration) -> bool {
        self.not_reported > 0 && after < window
    }

    /// Compares a machine's first report with the records and returns the discrepancies.
    ///
    /// The first report counts whatever fencing token it shows, since it has what was there before the
    /// failover: by the next one, what it reported may already be recorded. Later reports and machines
    /// that the records do not name show none.
    pub fn compare_first_report(
        &mut self,
        machine: &str,
        tasks: &[ReportedTask<'_>],
        records: &impl RecordedJobs,
    ) -> Vec<TaskDiscrepancy> {
        let has_not_reported = self.machine_status(machine) == Some(MachineStatus::NotReported);
        if !has_not_reported || !self.compared.insert(machine.to_string()) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for task in tasks {
            let discrepancy = Discrepancy::between(task, records).or_else(|| self.adopt(task, records));
            if let Some(discrepancy) = discrepancy {
                self.discrepancies.add(discrepancy);
                found.push(TaskDiscrepancy { job: task.job.to_string(), task: task.task, discrepancy });
            }
        }
        found
    }

    /// Notes a task that agrees with the records; returns a discrepancy if another machine has it too.
    fn adopt(&mut self, task: &ReportedTask<'_>, records: &impl RecordedJobs) -> Option<Discrepancy> {
        if task.state != ReportedTaskState::Present {
            return None;
        }
        if let JobRecordState::LiveGang { tasks } = records.job(task.job) {
            let attempt = GangAttempt { job: task.job.to_string(), attempt: task.attempt };
            let gang = self.gangs.entry(attempt).or_default();
            gang.size = tasks;
            gang.present.insert(task.task);
        }
        let key = TaskKey { job: task.job.to_string(), task: task.task };
        if !self.present.insert(key) {
            return Some(Discrepancy::PlacedTwice);
        }
        self.adopted += 1;
        None
    }

    /// A machine has reported with this leader's fencing token: no command of an earlier leader can reach
    /// it any more.
    pub fn mark_reported(&mut self, machine: &str, after: Duration) {
        self.resolve_machine(machine, MachineStatus::Reported, after);
    }

    /// A machine that has not reported is given up.
    pub fn mark_lost(&mut self, machine: &str, after: Duration) {
        self.resolve_machine(machine, MachineStatus::Lost, after);
    }

    /// Changes the status of a machine that is unheard; has no effect on any other.
    fn resolve_machine(&mut self, machine: &str, status: MachineStatus, after: Duration) {
        if self.machine_status(machine) != Some(MachineStatus::NotReported) {
            return;
        }
        self.machines.insert(machine.to_string(), status);
        self.not_reported -= 1;
        if status == MachineStatus::Lost {
            self.lost += 1;
            self.discrepancies.add(Discrepancy::MachineLost);
        }
        if self.not_reported == 0 {
            self.finish_comparison(after);
        }
    }

    /// Every machine has reported or is lost, so a gang of which tasks are missing is a partial one.
    fn finish_comparison(&mut self, after: Duration) {
        if self.completed_after.is_some() {
            return;
        }
        self.completed_after = Some(after);
        let partial_gangs = self.gangs.values().filter(|gang| gang.is_partial()).count();
        for _ in 0..partial_gangs {
            self.discrepancies.add(Discrepancy::PartialGang);
        }
        self.compared.clear();
        self.present.clear();
        self.gangs.clear();
    }

    /// Counts a command to a worker.
    pub fn count_command(&mut self, kind: CommandKind) {
        self.commands.add(kind);
    }

    /// Whether every machine has reported or is lost.
    pub fn is_complete(&self) -> bool {
        self.not_reported == 0
    }

    /// How far the recovery has come, this long after the failover.
    pub fn progress(&self, after: Duration) -> RecoveryProgress {
        RecoveryProgress {
            after_s: after.as_secs_f64(),
            machines: self.machines.len() as u64,
            not_reported: self.not_reported,
            lost: self.lost,
            adopted: self.adopted,
            discrepancies: self.discrepancies.clone(),
            commands: self.commands,
            completed_after_s: self.completed_after.map(|duration| duration.as_secs_f64()),
        }
    }
}
