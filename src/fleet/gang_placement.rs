//! Gang scheduling: the machines that are assigned to the tasks of a gang's attempt, until all starts of the
//! attempt are sent.

use std::collections::BTreeMap;

use super::starts::GangPlace;
use super::{Fleet, Machine};
use crate::jobs::{GangAttempt, JobId, MachineId};
use crate::task_ranges::TaskRanges;
use crate::time::{Micros, Steady};

/// A gang is planned anew if none of its starts has been sent this many heartbeat intervals after it was
/// placed.
const MAX_UNSENT_INTERVALS: f64 = 1.5;

impl Fleet {
    /// Ends attempts of gangs that cannot start on the machines assigned to them. Other gangs keep their
    /// machines across plans, so that their starts can go into the replies, deferred ones included, to
    /// these machines' heartbeats. If a machine is lost or starting takes too long, a gang of which no
    /// start has been sent is planned anew, and a gang of which some starts have been sent is stopped.
    pub(super) fn end_unstartable_gang_attempts(&mut self, now: Steady) {
        let max_wait = Micros::from_secs(self.config.platform.settings.workers.gang_wait_s);
        let max_unsent = self.heartbeat_interval().scale(MAX_UNSENT_INTERVALS);
        let mut attempts_to_stop = Vec::new();
        for job in self.jobs.values_mut() {
            let Some(gang) = &job.gang else { continue };
            let lost_place = has_lost_place(gang, &self.machines, now);
            let is_stale = lost_place || now - gang.placed_at > max_unsent;
            let is_over = gang.stop_grace_s.is_some() || (gang.started.is_empty() && is_stale);
            if is_over && job.placements.is_empty() {
                job.gang = None;
            } else if gang.stop_grace_s.is_none() {
                let has_unsent = gang.unsent_places().next().is_some();
                let waited_too_long =
                    has_unsent && gang.first_start_at.is_some_and(|since| now - since > max_wait);
                if (lost_place && !gang.started.is_empty()) || waited_too_long {
                    attempts_to_stop.push((job.id.clone(), gang.attempt));
                }
            }
        }
        for (job, attempt) in attempts_to_stop {
            self.stop_gang_attempt(&job, attempt);
        }
    }

    /// Begins an attempt of a gang on `machines`, one for each waiting task. `waited` is the time that the
    /// gang has waited, for the log.
    pub(super) fn place_gang(&mut self, job: &JobId, machines: Vec<MachineId>, waited: Micros, now: Steady) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get_mut(job) else { return };
        let places = job.waiting.iter().zip(machines).collect();
        let tasks = job.spec.tasks;
        tracing::debug!(job = %job.id, tasks, attempt, waited = waited.secs(), "gang placed");
        job.wanted_start_mark = tasks;
        job.gang = Some(GangAttempt {
            attempt,
            places,
            started: TaskRanges::new(),
            placed_at: now,
            first_start_at: None,
            stop_grace_s: None,
        });
    }

    /// Collects by machine the places of gang tasks whose starts have not been sent. No other task starts on
    /// these machines before them.
    pub(super) fn reserve_gang_places(&mut self) {
        self.reserved_gang_places.clear();
        for job in self.jobs.values() {
            let Some(gang) = job.gang.as_ref().filter(|gang| gang.stop_grace_s.is_none()) else { continue };
            for (number, machine) in gang.unsent_places() {
                self.reserved_gang_places
                    .entry(machine.clone())
                    .or_default()
                    .push(GangPlace { job: job.id.clone(), number });
            }
        }
    }
}

/// Whether some task of a gang whose start has not been sent was placed on a machine that can no longer
/// take it.
fn has_lost_place(gang: &GangAttempt, machines: &BTreeMap<MachineId, Machine>, now: Steady) -> bool {
    gang.unsent_places().any(|(_, machine)| {
        machines.get(machine).is_none_or(|machine| {
            let is_gone = machine.scaling_in || machine.lease_expired || machine.missing;
            is_gone || machine.interruption_at.is_some() || !machine.is_usable(now)
        })
    })
}
