//! Recovery after a takeover: what workers report, compared with the records, and what waits until the
//! machines of the earlier owner can have been heard.

use std::time::Duration;

use milletlock_recovery::{
    Discrepancy, JobRecordState, OrderKind, RecordedJobs, RecoveryProgress, ReportedTask, ReportedTaskState,
};

use super::*;

/// So many report intervals after a takeover every worker that reaches the new owner has reported: at most
/// one and a quarter between two reports.
const REPORTS_TO_HEAR_ALL: f64 = 1.25;

/// How often the log says how far a recovery has come.
const PROGRESS_INTERVAL: Micros = Micros(500_000);

/// For so long after a takeover it says so, and orders are counted.
const RECOVERY_LOGGED_FOR: Micros = Micros(60_000_000);

/// A read-only view of this leader's jobs for the recovery tracker: the jobs as the records had them
/// at the failover, and as they stand now.
struct JobRecordsView<'a> {
    jobs: &'a BTreeMap<JobId, Job>,
}

impl RecordedJobs for JobRecordsView<'_> {
    fn job(&self, job: &str) -> JobRecordState {
        match self.jobs.get(job) {
            Some(job) if job.cancelled => JobRecordState::Ended,
            Some(job) if job.spec.is_gang() => JobRecordState::LiveGang { tasks: job.spec.tasks },
            Some(_) => JobRecordState::Live,
            None => JobRecordState::Ended,
        }
    }

    fn is_done(&self, job: &str, task: u32) -> bool {
        self.jobs.get(job).is_some_and(|job| job.done_written.contains(task))
    }
}

impl Fleet {
    /// Whether machines of an earlier owner are about to be heard. What runs on the others is not stopped
    /// for work that may have room there: after a takeover the first urgent job would otherwise stop what
    /// happens to be heard first.
    pub(super) fn is_hearing_machines(&self, now: Steady) -> bool {
        let heartbeat_interval = self.heartbeat_interval();
        self.recovery.is_awaiting_reports(
            self.since_takeover(now),
            heartbeat_interval.scale(REPORTS_TO_HEAR_ALL).std(),
        )
    }

    /// How far the recovery has come.
    pub fn recovery_progress(&self, now: Steady) -> RecoveryProgress {
        self.recovery.progress(self.since_takeover(now))
    }

    fn since_takeover(&self, now: Steady) -> Duration {
        (now - self.failover_at).max(Micros::ZERO).std()
    }

    /// A machine's first report after the takeover, before it is taken into the jobs.
    pub(super) fn compare_with_records(&mut self, id: &MachineId, report: &Heartbeat) {
        let tasks: Vec<ReportedTask<'_>> = report.tasks.iter().filter_map(reported).collect();
        let records = JobRecordsView { jobs: &self.jobs };
        for found in self.recovery.compare_first_report(id, &tasks, &records) {
            let (job, task, difference) = (found.job, found.task, found.discrepancy);
            tracing::debug!(machine = %id, %job, task, ?difference, "reconciliation difference");
        }
    }

    /// A machine has shown this owner's token.
    pub(super) fn machine_heard(&mut self, id: &str, now: Steady) {
        self.recovery.machine_reported(id, self.since_takeover(now));
    }

    /// All that was on a machine that was not heard is gone.
    pub(super) fn machine_given_up(&mut self, id: &str, now: Steady) {
        self.recovery.machine_lost(id, self.since_takeover(now));
    }

    /// Counts orders that leave, as long as the recovery is of interest.
    pub(super) fn count_orders<'a>(
        &mut self,
        orders: impl IntoIterator<Item = &'a WorkerCommand>,
        now: Steady,
    ) {
        if now - self.failover_at > RECOVERY_LOGGED_FOR {
            return;
        }
        for order in orders {
            self.recovery.count_order(match order {
                WorkerCommand::Start { .. } => OrderKind::Start,
                WorkerCommand::Halt { .. } => OrderKind::Halt,
                WorkerCommand::Forget { .. } => OrderKind::Forget,
            });
        }
    }

    /// Says now and then how far the recovery has come.
    pub(super) fn log_recovery(&mut self, now: Steady) {
        if now - self.recovery_logged < PROGRESS_INTERVAL || now - self.failover_at > RECOVERY_LOGGED_FOR {
            return;
        }
        self.recovery_logged = now;
        let progress = self.recovery_progress(now);
        if progress.machines == 0 {
            return;
        }
        let of = |discrepancy: Discrepancy| progress.discrepancies.count(discrepancy);
        tracing::info!(
            fencing_token = self.fencing_token,
            after_s = progress.after_s,
            machines = progress.machines,
            unheard = progress.unheard,
            lost = progress.lost,
            adopted = progress.adopted,
            finished = of(Discrepancy::Finished),
            job_over = of(Discrepancy::JobOver),
            done_before = of(Discrepancy::DoneBefore),
            placed_twice = of(Discrepancy::PlacedTwice),
            failed = of(Discrepancy::Failed),
            partial_gang = of(Discrepancy::PartialGang),
            machine_lost = of(Discrepancy::MachineLost),
            starts = progress.orders.starts,
            halts = progress.orders.halts,
            forgets = progress.orders.forgets,
            settled_s = progress.settled_s,
            "recovery"
        );
    }
}

/// A task of a report, as the comparison sees it; none if it has no task's name.
fn reported(task: &TaskStatus) -> Option<ReportedTask<'_>> {
    let (job, number) = split_task(&task.task)?;
    let state = match (task.stage, task.exit_reason) {
        (TaskStage::Exited, Some(ExitReason::Done)) => ReportedTaskState::Done,
        (TaskStage::Exited, _) => ReportedTaskState::Failed,
        _ => ReportedTaskState::Present,
    };
    Some(ReportedTask { job, task: number, attempt: task.attempt, state })
}
