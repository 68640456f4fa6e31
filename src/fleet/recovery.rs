//! Recovery after a failover: compares each machine's first heartbeat with the records, and determines
//! whether first heartbeats of an earlier leader's machines are still to be expected.

use std::collections::BTreeMap;
use std::time::Duration;

use milletlock_recovery::{
    CommandKind, Discrepancy, JobRecordState, RecordedJobs, RecoveryProgress, ReportedTask, ReportedTaskState,
};

use super::Fleet;
use crate::jobs::{split_task, Job, JobId, MachineId};
use crate::time::{Micros, Steady};
use crate::wire::{ExitReason, Heartbeat, TaskStage, TaskStatus, WorkerCommand};

/// Number of heartbeat intervals after a failover by which every worker that can reach the new leader has
/// sent a heartbeat. The time between two heartbeats of a worker is at most one and a quarter intervals.
const INTERVALS_UNTIL_ALL_HEARTBEATS: f64 = 1.25;

/// Minimum time between two log lines about the progress of a recovery.
const PROGRESS_LOG_INTERVAL: Micros = Micros(500_000);

/// How long after a failover the progress of the recovery is logged and commands are counted.
const RECOVERY_LOGGED_FOR: Micros = Micros(60_000_000);

/// A read-only view of this leader's jobs for the recovery tracker: the jobs that were loaded from the
/// records at the failover, in their current state.
struct JobRecordsView<'a> {
    jobs: &'a BTreeMap<JobId, Job>,
}

impl RecordedJobs for JobRecordsView<'_> {
    fn job(&self, job: &str) -> JobRecordState {
        match self.jobs.get(job) {
            Some(job) if job.ended => JobRecordState::Ended,
            Some(job) if job.spec.is_gang() => JobRecordState::LiveGang { tasks: job.spec.tasks },
            Some(_) => JobRecordState::Live,
            None => JobRecordState::Ended,
        }
    }

    fn is_done(&self, job: &str, task: u32) -> bool {
        self.jobs.get(job).is_some_and(|job| job.is_recorded(task))
    }
}

impl Fleet {
    /// Whether first heartbeats from machines of an earlier leader are still to be expected. As long as
    /// they are, no task is preempted for work that may fit on these machines. Otherwise, the first urgent
    /// job after a failover would preempt tasks on the machines whose heartbeats happen to come first.
    pub(super) fn awaits_heartbeats(&self, now: Steady) -> bool {
        let heartbeat_interval = self.heartbeat_interval();
        self.recovery.is_awaiting_reports(
            self.since_failover(now),
            heartbeat_interval.scale(INTERVALS_UNTIL_ALL_HEARTBEATS).to_duration(),
        )
    }

    /// Progress of the recovery, for the status and the log.
    pub fn recovery_progress(&self, now: Steady) -> RecoveryProgress {
        self.recovery.progress(self.since_failover(now))
    }

    /// Time since the failover; zero if `now` is earlier.
    fn since_failover(&self, now: Steady) -> Duration {
        (now - self.failover_at).max(Micros::ZERO).to_duration()
    }

    /// Compares a machine's first heartbeat after the failover with the records and logs the discrepancies.
    /// To be called before the heartbeat is applied to the jobs.
    pub(super) fn compare_with_records(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let tasks: Vec<ReportedTask<'_>> = heartbeat.tasks.iter().filter_map(reported_task).collect();
        let records = JobRecordsView { jobs: &self.jobs };
        for found in self.recovery.compare_first_report(id, &tasks, &records) {
            let (job, task, difference) = (found.job, found.task, found.discrepancy);
            tracing::debug!(machine = %id, %job, task, ?difference, "reconciliation difference");
        }
    }

    /// Tells the recovery tracker that a machine has acknowledged this leader's fencing token.
    pub(super) fn mark_machine_acknowledged(&mut self, id: &str, now: Steady) {
        self.recovery.mark_reported(id, self.since_failover(now));
    }

    /// Tells the recovery tracker that no task can be running on a machine any more. Has no effect if the
    /// machine has acknowledged this leader's fencing token before.
    pub(super) fn mark_machine_lost(&mut self, id: &str, now: Steady) {
        self.recovery.mark_lost(id, self.since_failover(now));
    }

    /// Counts commands to workers, as long as the progress of the recovery is logged.
    pub(super) fn count_commands<'a>(
        &mut self,
        commands: impl IntoIterator<Item = &'a WorkerCommand>,
        now: Steady,
    ) {
        if now - self.failover_at > RECOVERY_LOGGED_FOR {
            return;
        }
        for command in commands {
            self.recovery.count_command(match command {
                WorkerCommand::Start { .. } => CommandKind::Start,
                WorkerCommand::Halt { .. } => CommandKind::Halt,
                WorkerCommand::Forget { .. } => CommandKind::Forget,
            });
        }
    }

    /// Logs the progress of the recovery, at most once in `PROGRESS_LOG_INTERVAL`, during
    /// `RECOVERY_LOGGED_FOR`.
    pub(super) fn log_recovery(&mut self, now: Steady) {
        let is_too_soon = now - self.log_state.recovery_at < PROGRESS_LOG_INTERVAL;
        if is_too_soon || now - self.failover_at > RECOVERY_LOGGED_FOR {
            return;
        }
        self.log_state.recovery_at = now;
        let progress = self.recovery_progress(now);
        if progress.machines == 0 {
            return;
        }
        let count = |discrepancy: Discrepancy| progress.discrepancies.count(discrepancy);
        tracing::info!(
            fencing_token = self.fencing_token,
            after_s = progress.after_s,
            machines = progress.machines,
            unheard = progress.not_reported,
            lost = progress.lost,
            adopted = progress.adopted,
            finished = count(Discrepancy::Finished),
            job_over = count(Discrepancy::JobOver),
            done_before = count(Discrepancy::DoneBefore),
            placed_twice = count(Discrepancy::PlacedTwice),
            failed = count(Discrepancy::Failed),
            partial_gang = count(Discrepancy::PartialGang),
            machine_lost = count(Discrepancy::MachineLost),
            starts = progress.commands.starts,
            halts = progress.commands.halts,
            forgets = progress.commands.forgets,
            settled_s = progress.completed_after_s,
            "recovery"
        );
    }
}

/// Converts a task in a heartbeat for the recovery tracker; `None` if the task's name is malformed.
fn reported_task(task: &TaskStatus) -> Option<ReportedTask<'_>> {
    let (job, number) = split_task(&task.task)?;
    let state = match (task.stage, task.exit_reason) {
        (TaskStage::Exited, Some(ExitReason::Done)) => ReportedTaskState::Done,
        (TaskStage::Exited, _) => ReportedTaskState::Failed,
        _ => ReportedTaskState::Present,
    };
    Some(ReportedTask { job, task: number, attempt: task.attempt, state })
}
