//! Tracks which machines have reported since a failover, and collects what their reports show.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::discrepancy::{
    Discrepancy, JobRecordState, RecordedJobs, ReportedTask, ReportedTaskState, TaskDiscrepancy,
};
use crate::progress::{CommandCounts, CommandKind, DiscrepancyCounts, RecoveryProgress};

/// The state of a machine that the records name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineStatus {
    /// The machine has not reported with this leader's fencing token. Tasks that may be on it are not started
    /// elsewhere, and do not count as missing.
    NotReported,
    /// The machine has reported with this leader's fencing token.
    Reported,
    /// The machine ended, or its lease has certainly expired, before it reported.
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

/// The tasks of a gang's attempt that were reported.
#[derive(Clone, Debug, Default)]
struct ReportedGang {
    /// Number of tasks of the whole gang.
    size: u32,
    /// Numbers of the tasks that are present on a machine.
    present: BTreeSet<u32>,
}

impl ReportedGang {
    fn is_partial(&self) -> bool {
        self.present.len() < self.size as usize
    }
}

/// Tracks the recovery after a failover. The comparison is complete once every machine that the records
/// name has reported or is lost.
#[derive(Clone, Debug, Default)]
pub struct RecoveryTracker {
    /// The machines that the records name.
    machines: BTreeMap<String, MachineStatus>,
    /// Machines whose first report has been compared with the records.
    compared: BTreeSet<String>,
    /// Number of machines with status `NotReported`.
    not_reported: u64,
    /// Reported tasks that are present on a machine; cleared once every machine has reported or is lost.
    present: BTreeSet<TaskKey>,
    /// Reported attempts of gangs; cleared once every machine has reported or is lost.
    gangs: BTreeMap<GangAttempt, ReportedGang>,
    /// Number of tasks that were found on a machine and agree with the records.
    adopted: u64,
    /// Number of machines with status `Lost`.
    lost: u64,
    discrepancies: DiscrepancyCounts,
    commands: CommandCounts,
    /// Time from the failover until every machine had reported or was lost; `None` until then.
    completed_after: Option<Duration>,
}

impl RecoveryTracker {
    /// Adds a machine that the records name, as one that has not reported.
    pub fn expect_machine(&mut self, machine: &str) {
        if self.machines.insert(machine.to_string(), MachineStatus::NotReported).is_none() {
            self.not_reported += 1;
        }
    }

    /// The status of a machine; `None` if the records do not name it.
    pub fn machine_status(&self, machine: &str) -> Option<MachineStatus> {
        self.machines.get(machine).copied()
    }

    /// Whether reports of some machines are still awaited: not all machines have reported, and `after`, the
    /// time since the failover, is less than `window`. Decisions that depend on what runs on these machines,
    /// and that can wait, should be made only when this is false.
    pub fn is_awaiting_reports(&self, after: Duration, window: Duration) -> bool {
        self.not_reported > 0 && after < window
    }

    /// Compares a machine's first report with the records and returns the discrepancies.
    ///
    /// The first report is compared whatever fencing token it carries, since it shows the machine's state
    /// at the failover: when the next report comes, results in the first one may already be recorded. Later
    /// reports, and reports of machines that the records do not name, are not compared and yield no
    /// discrepancies.
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

    /// Counts a present task that agrees with the records as adopted; returns a discrepancy instead if
    /// another machine has reported the task too.
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

    /// Marks a machine as reported: it has shown this leader's fencing token, so that no command of an
    /// earlier leader takes effect on it any more. Has no effect unless the machine has not reported.
    pub fn mark_reported(&mut self, machine: &str, after: Duration) {
        self.resolve_machine(machine, MachineStatus::Reported, after);
    }

    /// Marks a machine as lost. Has no effect unless the machine has not reported.
    pub fn mark_lost(&mut self, machine: &str, after: Duration) {
        self.resolve_machine(machine, MachineStatus::Lost, after);
    }

    /// Changes the status of a machine that has not reported; has no effect on other machines.
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

    /// Completes the comparison once every machine has reported or is lost: gangs with missing tasks are now
    /// known to be partial.
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

    /// The progress of the recovery at the time `after` since the failover.
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
