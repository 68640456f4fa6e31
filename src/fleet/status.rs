//! The view for people on call.

use milletlock_recovery::RecoveryProgress;

use super::*;

/// A machine, for people on call.
#[derive(Debug, Serialize)]
pub struct MachineView {
    /// Its name.
    pub id: String,
    /// Type.
    pub ty: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// `booting`, `up`, `unheard`, `silent` or `leaving`.
    pub state: &'static str,
    /// Tasks that are or may be on it.
    pub tasks: usize,
    /// Seconds since its last report.
    pub report_s: Option<f64>,
}

/// A job, for people on call and for its team.
#[derive(Debug, Serialize)]
pub struct JobView {
    /// Its id.
    pub id: String,
    /// Its team.
    pub team: String,
    /// Its rank.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Seconds since it was accepted.
    pub waited_s: f64,
    /// Tasks waiting.
    pub waiting: u32,
    /// Tasks that are or may be somewhere.
    pub placed: usize,
    /// Tasks or replicas in all.
    pub wanted: u32,
    /// Tasks or replicas that run.
    pub running: u32,
    /// Tasks done; a service never has any.
    pub done: u32,
    /// Failures in a row.
    pub errors: u32,
}

/// A of a key.
#[derive(Debug, Serialize)]
pub struct FactorView {
    /// The team.
    pub team: String,
    /// The stated time in seconds.
    pub stated_s: f64,
    /// A.
    pub a: f64,
    /// Past jobs kept.
    pub jobs: usize,
}

/// What the owner sees.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// Its token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Machines; none for a team's view.
    pub machines: Vec<MachineView>,
    /// Jobs in the queue's order of age; a team's own only, for a team's view.
    pub jobs: Vec<JobView>,
    /// The reserved job and the seconds until its room is free.
    pub reservation: Option<(String, f64)>,
    /// A by key.
    pub factors: Vec<FactorView>,
    /// How far the recovery after the takeover has come; none for a team's view.
    pub recovery: Option<RecoveryProgress>,
}

impl Fleet {
    /// What this owner sees, whole or for one team, which sees only what is its own.
    pub fn status(&self, team: Option<&str>, now: Steady, wall: Wall) -> StatusView {
        let ours = |t: &str| team.is_none_or(|x| x == t);
        let silent = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 3.0);
        let machine = |m: &Machine| MachineView {
            id: m.id.to_string(),
            ty: m.ty_name.clone(),
            zone: self.zone_name(m.zone).to_string(),
            spot: m.spot,
            state: if m.leaving {
                "leaving"
            } else if !m.heard {
                "unheard"
            } else if !m.up {
                "booting"
            } else if now - m.report > silent {
                "silent"
            } else {
                "up"
            },
            tasks: m.tasks.values().filter(|e| e.live()).count(),
            report_s: (m.report.0 > 0).then(|| (now - m.report).secs()),
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled && ours(&j.spec.team)).collect();
        jobs.sort_by_key(|j| j.submitted);
        let reserved = self.plan.reservation.as_ref().and_then(|r| {
            let id = self.planned_jobs.get(r.class)?;
            let at = (r.at - (now - self.planned)).secs();
            self.jobs.get(id).filter(|j| ours(&j.spec.team)).map(|_| (id.to_string(), at))
        });
        StatusView {
            fencing_token: self.fencing_token,
            machines: if team.is_none() { self.machines.values().map(machine).collect() } else { Vec::new() },
            jobs: jobs
                .into_iter()
                .map(|j| JobView {
                    id: j.id.to_string(),
                    team: j.spec.team.clone(),
                    priority: j.spec.priority,
                    waited_s: (wall - j.submitted).secs(),
                    waiting: j.waiting.len(),
                    placed: j.live.len(),
                    wanted: j.spec.tasks,
                    running: self.counts(&j.id).unwrap_or_default().running,
                    done: j.done.len(),
                    errors: j.errors,
                })
                .collect(),
            reservation: reserved,
            recovery: team.is_none().then(|| self.recovery_progress(now)),
            factors: self
                .history
                .factors(wall)
                .into_iter()
                .filter(|f| ours(&f.key.team))
                .map(|f| FactorView {
                    team: f.key.team,
                    stated_s: f.key.stated.secs(),
                    a: f.factor,
                    jobs: f.jobs,
                })
                .collect(),
        }
    }
}
