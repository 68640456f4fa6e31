//! The status that operators and teams read. The JSON names are part of the interface.

use milletlock_recovery::RecoveryProgress;
use serde::Serialize;

use super::machine::Machine;
use super::unreadable::UnreadableView;
use super::wait_reasons::{QuotaView, WaitReasons};
use super::Fleet;
use crate::jobs::Job;
use crate::time::{Steady, Wall};
use crate::wire::Priority;

/// When the periodic log lines were last written, and what the latest of them said.
pub(super) struct LogState {
    /// When machine utilization was logged.
    pub(super) machine_use_at: Steady,
    /// When the progress of the recovery was logged.
    pub(super) recovery_at: Steady,
    /// Whether all machines had acknowledged this leader's fencing token.
    pub(super) all_acknowledged: bool,
}

/// Whether a machine can be used, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// No heartbeat has come yet.
    Booting,
    /// In use.
    Up,
    /// It has not acknowledged this leader's fencing token.
    #[serde(rename = "unheard")]
    Unacknowledged,
    /// No heartbeat has come of late.
    Silent,
    /// It is being scaled in.
    #[serde(rename = "leaving")]
    ScalingIn,
}

/// A machine, for operators.
#[derive(Debug, Serialize)]
pub struct MachineView {
    /// The cloud's id.
    pub id: String,
    /// Name of the machine type.
    #[serde(rename = "ty")]
    pub type_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Whether it can be used.
    pub state: MachineState,
    /// Tasks that are running on it, or may be.
    pub tasks: usize,
    /// Seconds since its last heartbeat; `None` if none has come.
    #[serde(rename = "report_s")]
    pub heartbeat_age_s: Option<f64>,
}

/// A job, for operators and for its team.
#[derive(Debug, Serialize)]
pub struct JobView {
    /// The id.
    pub id: String,
    /// The team.
    pub team: String,
    /// The priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Seconds since it was accepted.
    pub waited_s: f64,
    /// Tasks waiting.
    pub waiting: u32,
    /// Tasks that are running, or may be.
    pub placed: usize,
    /// Tasks or replicas in all.
    pub wanted: u32,
    /// Tasks or replicas that run, by the latest heartbeats.
    pub running: u32,
    /// Tasks done; a service never has any.
    pub done: u32,
    /// Failures in a row.
    #[serde(rename = "errors")]
    pub consecutive_failures: u32,
    /// Why tasks wait, with the number of tasks for each reason; empty if none waits.
    pub wait_reasons: WaitReasons,
}

/// How a team's actual run times compare to those that it states.
#[derive(Debug, Serialize)]
pub struct FactorView {
    /// The team.
    pub team: String,
    /// The stated run time in seconds.
    pub stated_s: f64,
    /// The factor from stated to expected run time.
    #[serde(rename = "a")]
    pub factor: f64,
    /// Past jobs that it is computed from.
    pub jobs: usize,
}

/// The leader's status.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// The leader's fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Machines; none for a team's view.
    pub machines: Vec<MachineView>,
    /// Jobs, the oldest first; only a team's own, for a team's view.
    pub jobs: Vec<JobView>,
    /// The job that capacity is reserved for, and the seconds until the capacity is free.
    pub reservation: Option<(String, f64)>,
    /// Run-time factors by team and stated run time.
    pub factors: Vec<FactorView>,
    /// What counts against the quotas; only a team's own, for a team's view.
    pub quotas: Vec<QuotaView>,
    /// Stored records that could not be read; none for a team's view.
    pub unreadable: Option<UnreadableView>,
    /// Progress of the recovery after the failover; none for a team's view.
    pub recovery: Option<RecoveryProgress>,
}

impl Fleet {
    /// The status, whole or for one team, which sees only what is its own.
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

    /// The latest plan's reservation, as it stands now, if it is for a visible team's job.
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
