//! Replicas of services: what happens when one ends, is about to lose its machine, or waits.

use super::*;
use crate::sched::ReportingMachine;

/// A replica that lived for less than this counts as a failure of its service.
const LIVED_SHORT: Micros = Micros::from_millis(30_000);
/// A machine that a replica has left by itself is avoided by its service for this long.
const AVOIDED_FOR: Micros = Micros::from_millis(60_000);
/// Before the cloud takes a machine its replicas are stopped at the latest this many reports ahead.
const REPORTS_BEFORE_NOTICE_ENDS: f64 = 1.5;
/// Stopping a replica costs its users as much as so much lost work of its size.
pub(super) const STOPPED_REPLICA_COSTS: Micros = Micros::from_millis(60_000);

/// A service with replicas that wait for a start.
#[derive(Debug)]
pub(super) struct WaitingService {
    /// Its class in the latest plan.
    class: usize,
    /// When its replicas would run by that plan, if it has a place for them.
    planned: Option<Micros>,
}

impl Fleet {
    /// A replica has ended, for whatever reason: it runs again elsewhere. A service whose replicas
    /// end soon after they began is backed off, so that a mistaken one does not hold room.
    pub(super) fn replica_ended(
        &mut self,
        job: &JobId,
        machine: &MachineId,
        why: ExitReason,
        lived: Micros,
        now: Steady,
    ) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        if !matches!(why, ExitReason::Done | ExitReason::Error | ExitReason::UnknownTask | ExitReason::Other)
        {
            return;
        }
        j.vacated.insert(machine.clone(), now);
        if lived >= LIVED_SHORT {
            j.succeeded();
            return;
        }
        j.back_off(machine, now);
    }

    /// Rooms, by their place in the plan's list, that a service's next replica should avoid: those
    /// with a replica and those that one has left of late.
    pub(super) fn replica_rooms(&self, j: &Job, rooms: &BTreeMap<&MachineId, usize>) -> Vec<usize> {
        let live = j.live.values().flatten();
        live.chain(j.vacated.keys()).filter_map(|id| rooms.get(id).copied()).collect()
    }

    /// Forgets which machines replicas have left long ago.
    pub(super) fn forget_vacated(&mut self, now: Steady) {
        for j in self.jobs.values_mut() {
            j.vacated.retain(|_, at| now - *at < AVOIDED_FOR);
        }
    }

    /// Keeps which services have replicas waiting, and when they would run by the plan.
    pub(super) fn note_waiting_services(&mut self, s: &Snapshot, plan: &Plan) {
        let mut waiting: BTreeMap<usize, Option<Micros>> = BTreeMap::new();
        for start in &plan.starts {
            let c = &s.classes[start.class];
            if c.replicas.is_some() {
                let planned = waiting.entry(start.class).or_default();
                *planned = (*planned).max(Some(sched::runs_in(c, &s.rooms[start.room])));
            }
        }
        let unmet = plan.unmet.iter().filter(|u| s.classes[u.0].replicas.is_some());
        waiting.extend(unmet.map(|u| (u.0, None)));
        self.waiting_services =
            waiting.into_iter().map(|(class, planned)| WaitingService { class, planned }).collect();
    }

    /// Starts waiting replicas on a machine that has just reported, if they run sooner here than
    /// where the plan has them.
    pub(super) fn start_replicas(&mut self, id: &MachineId, now: Steady, out: &mut Vec<WorkerCommand>) {
        if self.waiting_services.is_empty() || self.closed.contains(id) || self.promised.contains_key(id) {
            return;
        }
        let usable = |m: &&Machine| m.usable(now) && !m.missing && !m.unknown_use();
        let Some(m) = self.machines.get(id).filter(usable) else { return };
        if m.tasks.values().any(|e| e.live() && e.stop.is_some()) {
            return;
        }
        let Some(mut room) = self.room(m, now, 0, Resources::default()) else { return };
        let since_plan = now - self.planned;
        let kept = self.planned_for.kept(room.ty, room.spot).map(|k| k.need);
        let mut chosen = Vec::new();
        for w in &self.waiting_services {
            let (Some(c), Some(job)) =
                (self.planned_for.classes.get(w.class), self.planned_jobs.get(w.class))
            else {
                continue;
            };
            let Some(j) = self.jobs.get(job) else { continue };
            let here = j.live.values().flatten().any(|at| at == id) || j.vacated.contains_key(id);
            let in_zone = self.zones_of(j).get(room.zone).copied().unwrap_or(0);
            let crowded_zone = in_zone >= j.spec.tasks.div_ceil(2);
            let reported = ReportingMachine { room: &room, kept, crowded_zone };
            let runs_here = !here && !j.waiting.is_empty();
            if runs_here && reported.runs_sooner(c, w.planned.map(|p| p - since_plan)) {
                room.free = room.free.less(&c.need, 1);
                room.held.push(PlacedTask::replica(c));
                chosen.push(job.clone());
            }
        }
        for job in chosen {
            self.start_some(&job, 1, id, now, out);
        }
    }

    /// Replicas to stop since the cloud is about to take their machine: as soon as another machine has
    /// room and their image, or at the last moment.
    pub(super) fn replicas_to_move(&self, now: Steady) -> Vec<(MachineId, TaskKey)> {
        let report = self.cfg.platform.settings.workers.report_s;
        let last_moment = Micros::from_secs(report * REPORTS_BEFORE_NOTICE_ENDS);
        let mut replacements = ReplicaReservations::default();
        let mut out = Vec::new();
        for m in self.machines.values() {
            let Some(notice) = m.notice else { continue };
            for (key, e) in m.tasks.iter().filter(|x| x.1.live() && x.1.stop.is_none()) {
                let Some(j) = self.jobs.get(&key.0).filter(|j| j.spec.is_service()) else {
                    continue;
                };
                if e.stage.is_none() {
                    continue;
                }
                let replacement = self.replacement(j, &replacements, now);
                if let Some(to) = &replacement {
                    replacements.take(to, &j.id, need_of(&j.spec));
                }
                if replacement.is_some() || notice - now < last_moment {
                    out.push((m.id.clone(), key.clone()));
                }
            }
        }
        out
    }

    /// A machine with room for a replica, its image and none of its service's replicas, beside what
    /// has been promised to other replicas.
    fn replacement(&self, j: &Job, promised: &ReplicaReservations, now: Steady) -> Option<MachineId> {
        let types = self.allowed_types(&j.spec);
        let need = need_of(&j.spec);
        let image = j.spec.image.as_ref().and_then(|name| self.images.get(name));
        let ready = |m: &&Machine| {
            let free = m.ty.filter(|t| types.contains(t)).map(|t| promised.free(m, m.free(self.total(t))));
            let has_image = j.spec.image.is_none() || m.images.iter().any(|i| Some(&i.0) == image);
            let allowed_here = (j.spec.spot || !m.spot)
                && j.spec.zone.as_deref().is_none_or(|z| z == self.zone_name(m.zone));
            let another_here = j.live.values().flatten().any(|at| *at == m.id) || promised.has(&m.id, &j.id);
            free.is_some_and(|f| f.fits(&need) > 0)
                && has_image
                && allowed_here
                && m.usable(now)
                && m.notice.is_none()
                && !another_here
        };
        self.machines.values().find(ready).map(|m| m.id.clone())
    }
}

/// Capacity that replicas about to move are to take, by machine, with their services, so that two
/// moves do not count on the same free capacity.
#[derive(Default)]
struct ReplicaReservations(BTreeMap<MachineId, Vec<(JobId, Resources)>>);

impl ReplicaReservations {
    fn take(&mut self, machine: &MachineId, job: &JobId, need: Resources) {
        self.0.entry(machine.clone()).or_default().push((job.clone(), need));
    }

    /// What remains of a machine's free room.
    fn free(&self, m: &Machine, free: Resources) -> Resources {
        self.0.get(&m.id).into_iter().flatten().fold(free, |n, (_, need)| n.less(need, 1))
    }

    /// Whether a replica of the service is to go to the machine.
    fn has(&self, machine: &MachineId, job: &JobId) -> bool {
        self.0.get(machine).into_iter().flatten().any(|(j, _)| j == job)
    }
}
