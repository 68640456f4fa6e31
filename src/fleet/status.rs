//! The status that operators and teams read. The JSON field names are part of the public interface.

use milletlock_recovery::RecoveryProgress;
use serde::Serialize;

use super::machine::Machine;
use super::unreadable::UnreadableView;
use super::wait_reasons::{QuotaView, WaitReasons};
use super::Fleet;
use crate::jobs::Job;
use crate::time::{Steady, Wall};
use crate::wire::Priority;

/// The state of the periodic log lines: when they were last written, and the state of the recovery at the
/// latest check.
pub(super) struct LogState {
    /// When machine utilization was last logged.
    pub(super) machine_use_at: Steady,
    /// When the progress of the recovery was last logged.
    pub(super) recovery_at: Steady,
    /// Whether all machines had acknowledged this leader's fencing token at the latest check.
    pub(super) all_acknowledged: bool,
}

/// Whether a machine can be used, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine has sent no heartbeat yet.
    Booting,
    /// The machine is in use.
    Up,
    /// The machine has not acknowledged this leader's fencing token.
    #[serde(rename = "unheard")]
    Unacknowledged,
    /// The machine has sent no recent heartbeat.
    Silent,
    /// The machine is being scaled in.
    #[serde(rename = "leaving")]
    ScalingIn,
}

/// The status of a machine, for operators.
#[derive(Debug, Serialize)]
pub struct MachineView {
    /// The machine's id in the cloud.
    pub id: String,
    /// Name of the machine type.
    #[serde(rename = "ty")]
    pub type_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Whether the machine can be used, and if not, why.
    pub state: MachineState,
    /// The number of tasks that are running on the machine, or may be.
    pub tasks: usize,
    /// Seconds since the machine's last heartbeat; `None` before the first one.
    #[serde(rename = "report_s")]
    pub heartbeat_age_s: Option<f64>,
}

/// The status of a job, for operators and for the job's team.
#[derive(Debug, Serialize)]
pub struct JobView {
    /// The job's id.
    pub id: String,
    /// The name of the job's team.
    pub team: String,
    /// The job's priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Seconds since the job was accepted.
    pub waited_s: f64,
    /// The number of tasks that wait for a start.
    pub waiting: u32,
    /// The number of tasks that are running, or may be.
    pub placed: usize,
    /// The total number of tasks or replicas.
    pub wanted: u32,
    /// The number of tasks or replicas that are running according to the latest heartbeats.
    pub running: u32,
    /// The number of done tasks; always 0 for a service.
    pub done: u32,
    /// The number of consecutive failures.
    #[serde(rename = "errors")]
    pub consecutive_failures: u32,
    /// The reasons for which tasks wait, with the number of tasks for each reason. Empty if no task waits.
    pub wait_reasons: WaitReasons,
}

/// The factor from a team's stated run times to its expected run times, for one stated run time.
#[derive(Debug, Serialize)]
pub struct FactorView {
    /// The name of the team.
    pub team: String,
    /// The stated run time in seconds.
    pub stated_s: f64,
    /// The factor by which the stated run time is multiplied to get the expected run time.
    #[serde(rename = "a")]
    pub factor: f64,
    /// The number of past jobs that are kept for this stated run time. Only jobs that ended within the
    /// history's window count for the factor.
    pub jobs: usize,
}

/// The leader's status.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// The leader's fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The machines; empty in a team's view.
    pub machines: Vec<MachineView>,
    /// The jobs, the oldest first; only the team's own jobs in a team's view.
    pub jobs: Vec<JobView>,
    /// The job that capacity is reserved for, and the seconds until the capacity is free. `None` if there is
    /// no reservation, and in a team's view if the job is another team's.
    pub reservation: Option<(String, f64)>,
    /// Run-time factors by team and stated run time.
    pub factors: Vec<FactorView>,
    /// The quotas and the resources that count against them; only the team's own quota in a team's view.
    pub quotas: Vec<QuotaView>,
    /// The unreadable stored records; `None` in a team's view.
    pub unreadable: Option<UnreadableView>,
    /// The progress of the recovery after the failover; `None` in a team's view.
    pub recovery: Option<RecoveryProgress>,
}

impl Fleet {
    /// The whole status, or the view of one team, which contains only the team's own jobs, factors and quota.
    pub fn status(&self, team: Option<&str>, now: Steady, wall: Wall) -> StatusView {
        let is_visible = |other: &str| team.is_none_or(|team| team == other);
        let mut jobs: Vec<&Job> =
            self.jobs.values().filter(|job| !job.ended && is_visible(&job.spec.team)).collect();
        jobs.sort_by_key(|job| job.submitted);
        let machines = if team.is_none() {
            self.machines.values().map(|machine| self.machine_view(machine, now)).collect()
        } else {
            Vec::new()
        };
        let mut wait_reasons = self.wait_reasons(now);
        let mut job_view = |job: &Job| {
            let reasons = wait_reasons.remove(&job.id).unwrap_or_default();
            self.job_view(job, reasons, wall)
        };
        let quotas = self.quota_views(now).into_iter().filter(|quota| is_visible(&quota.team));
        StatusView {
            fencing_token: self.fencing_token,
            machines,
            jobs: jobs.into_iter().map(&mut job_view).collect(),
            quotas: quotas.collect(),
            reservation: self.reservation_view(now, is_visible),
            unreadable: team.is_none().then(|| self.unreadable_view()),
            recovery: team.is_none().then(|| self.recovery_progress(now)),
            factors: self.factor_views(wall, is_visible),
        }
    }

    fn machine_view(&self, machine: &Machine, now: Steady) -> MachineView {
        let has_heartbeat = machine.heartbeat_at.0 > 0;
        MachineView {
            id: machine.id.to_string(),
            type_name: machine.type_name.clone(),
            zone: self.zone_name(machine.zone).to_string(),
            spot: machine.spot,
            state: self.machine_state(machine, now),
            tasks: machine.tasks.values().filter(|task| task.is_live()).count(),
            heartbeat_age_s: has_heartbeat.then(|| (now - machine.heartbeat_at).secs()),
        }
    }

    fn machine_state(&self, machine: &Machine, now: Steady) -> MachineState {
        if machine.scaling_in {
            MachineState::ScalingIn
        } else if !machine.acknowledged {
            MachineState::Unacknowledged
        } else if !machine.up {
            MachineState::Booting
        } else if self.is_silent(machine, now) {
            MachineState::Silent
        } else {
            MachineState::Up
        }
    }

    fn job_view(&self, job: &Job, wait_reasons: WaitReasons, wall: Wall) -> JobView {
        JobView {
            id: job.id.to_string(),
            team: job.spec.team.clone(),
            priority: job.spec.priority,
            waited_s: (wall - job.submitted).secs(),
            waiting: job.waiting.len(),
            placed: job.placements.len(),
            wanted: job.spec.tasks,
            running: self.progress(&job.id).unwrap_or_default().running,
            done: job.done.len(),
            consecutive_failures: job.consecutive_failures,
            wait_reasons,
        }
    }

    /// The job that the latest plan reserves capacity for and the seconds from now until the capacity is
    /// free; `None` if there is no reservation or its job's team is not visible.
    fn reservation_view(&self, now: Steady, is_visible: impl Fn(&str) -> bool) -> Option<(String, f64)> {
        let reservation = self.plan.reservation.as_ref()?;
        let id = self.planned_jobs.get(reservation.class)?;
        self.jobs.get(id).filter(|job| is_visible(&job.spec.team))?;
        let free_in = reservation.at - (now - self.planned_at);
        Some((id.to_string(), free_in.secs()))
    }

    fn factor_views(&self, wall: Wall, is_visible: impl Fn(&str) -> bool) -> Vec<FactorView> {
        let factors = self.history.factors(wall).into_iter();
        factors
            .filter(|adjustment| is_visible(&adjustment.key.team))
            .map(|adjustment| FactorView {
                team: adjustment.key.team,
                stated_s: adjustment.key.stated.secs(),
                factor: adjustment.factor,
                jobs: adjustment.jobs,
            })
            .collect()
    }
}
