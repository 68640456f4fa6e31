//! Services: replicas that run until their job is cancelled. Replicas start where they run soonest,
//! no two of a service on one machine while others will do, and in different zones as far as that
//! costs little time. Where no room is free soon enough, tasks of lower rank are stopped at once.

use super::placement::{allowed, delay, fetch_seconds};
use super::preemptible::preemptible_for;
use super::state::PlanState;
use super::types::cpu_tenths;
use super::{JobClass, MachineSnapshot, PlacedTask, Resources, Start};
use crate::time::Micros;

/// Delays of replicas that differ by less count as alike.
const STEP: Micros = Micros::from_millis(500);
/// Until a machine on which a task was stopped by direct command reports that it has ended.
const STOPPED_WITHIN: Micros = Micros::from_millis(800);
/// Stopping others' work has to save a replica this much time.
const STOPPING_COSTS: Micros = Micros::from_millis(1500);
/// Added where most of the service's replicas are in one zone already.
const CROWDED_ZONE: Micros = Micros::from_millis(1500);
/// Added on machines of a type that is kept for larger tasks, though such a task still fits beside.
const KEPT_TYPE: Micros = Micros::from_millis(1000);
/// Added where a larger task, for which the type is kept, would no longer fit.
const BREAKS_KEPT_ROOM: Micros = Micros::from_millis(20_000);
/// Added where another replica of the service is.
const SAME_MACHINE: Micros = Micros::from_millis(600_000);

/// A room that could take a replica.
struct ReplicaCandidate {
    /// When the replica would run, with all that speaks against the room added.
    cost: Micros,
    /// Work that is lost by stopping tasks.
    lost: Micros,
    /// What is free, so that full machines go before empty ones.
    free_tenths: i64,
    room: usize,
    /// Tasks to stop, by their place in the room's list.
    stops: Vec<usize>,
}

/// What it takes to have room for one more replica.
struct ReplicaPreemption {
    /// Tasks to stop, by their place in the room's list.
    stops: Vec<usize>,
    /// Work that is lost by it.
    lost: Micros,
    /// When the machine can take the start.
    ready_in: Micros,
}

impl PlanState<'_> {
    /// Places as many of a service's waiting replicas as possible; returns how many found no place.
    pub(super) fn start_service(
        &mut self,
        class_index: usize,
        starts: &mut Vec<Start>,
        preempt: &mut Vec<(usize, usize)>,
    ) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let limited = self.startable_count(class_index);
        if limited < class.count {
            // Its team's own lower work makes room within the limit.
            preempt.extend(self.preempt_within_limit(class_index));
        }
        let mut occupied: Vec<usize> = class.replica_machines.clone().unwrap_or_default();
        let mut left = limited;
        let mut candidates = self.service_candidates(class_index, &occupied);
        while left > 0 && !candidates.is_empty() {
            let best = self.best_candidate(class_index, &candidates);
            let chosen = candidates.swap_remove(best);
            let zone = self.snapshot.machines[chosen.room].zone;
            if self.zone_allowance(class_index, zone) == 0 {
                continue;
            }
            self.allocate(class_index, chosen.room, 1);
            self.being_preempted_for[chosen.room] |= !chosen.stops.is_empty();
            preempt.extend(chosen.stops.iter().map(|&held| (chosen.room, held)));
            self.preemptions_for_replicas.extend(chosen.stops.iter().map(|&held| (chosen.room, held)));
            starts.push(Start { class: class_index, machine: chosen.room, count: 1 });
            occupied.push(chosen.room);
            left -= 1;
            // There may be room for another replica, if there is nowhere else to go.
            candidates.extend(self.service_candidate(class_index, chosen.room, &occupied));
        }
        class.count - (limited - left)
    }

    fn service_candidates(&self, class_index: usize, occupied: &[usize]) -> Vec<ReplicaCandidate> {
        let rooms = 0..self.snapshot.machines.len();
        rooms.filter_map(|room_index| self.service_candidate(class_index, room_index, occupied)).collect()
    }

    /// The candidate to take next: its cost counts in steps, and with the zones as they stand.
    fn best_candidate(&self, class_index: usize, candidates: &[ReplicaCandidate]) -> usize {
        let class = &self.snapshot.classes[class_index];
        let crowded = |room_index: usize| {
            self.zones[class_index][self.snapshot.machines[room_index].zone] >= class.tasks.div_ceil(2)
        };
        let key = |x: &ReplicaCandidate| {
            let zone = if crowded(x.room) { CROWDED_ZONE } else { Micros::ZERO };
            ((x.cost + zone).0 / STEP.0, x.lost, x.free_tenths, x.room)
        };
        let best = candidates.iter().enumerate().min_by_key(|x| key(x.1));
        best.map_or(0, |x| x.0)
    }

    /// What it takes to run a replica in a room; `None` if it cannot.
    fn service_candidate(
        &self,
        class_index: usize,
        room_index: usize,
        occupied: &[usize],
    ) -> Option<ReplicaCandidate> {
        let class = &self.snapshot.classes[class_index];
        let room = &self.snapshot.machines[room_index];
        if !room.accepts_starts || room.reclaimed_in.is_some() || !allowed(class, room) {
            return None;
        }
        let ReplicaPreemption { stops, lost, ready_in } = self.preemption_for_replica(class, room_index)?;
        let mut cost = ready_in + Micros::from_secs(fetch_seconds(class, room)) + room.penalty;
        if !stops.is_empty() {
            cost = cost + STOPPING_COSTS;
        }
        if occupied.contains(&room_index) {
            cost = cost + SAME_MACHINE;
        }
        cost = cost + self.headroom_cost(class, room_index);
        let free_tenths = cpu_tenths(self.free[room_index].cpus);
        Some(ReplicaCandidate { cost, lost, free_tenths, room: room_index, stops })
    }

    /// Which tasks have to be stopped for one more replica, the work that is lost by it, and when the
    /// machine can take the start.
    fn preemption_for_replica(&self, class: &JobClass, room_index: usize) -> Option<ReplicaPreemption> {
        let room = &self.snapshot.machines[room_index];
        let stopped = |held: usize| self.preemptions_for_replicas.contains(&(room_index, held));
        let stopping = room.placed.iter().any(|h| h.stopping);
        let soon = if stopping { room.accepts_starts_in.min(STOPPED_WITHIN) } else { room.accepts_starts_in };
        if self.free[room_index].fits(&class.need) > 0 {
            return Some(ReplicaPreemption { stops: Vec::new(), lost: Micros::ZERO, ready_in: soon });
        }
        // What this plan stops here for another replica may leave room for this one.
        let ending = room.placed.iter().enumerate().filter(|(held, task)| task.stopping || stopped(*held));
        let mut free = ending.fold(self.free[room_index], |n, (_, task)| n.plus(&task.need, 1));
        if free.fits(&class.need) > 0 {
            return Some(ReplicaPreemption {
                stops: Vec::new(),
                lost: Micros::ZERO,
                ready_in: STOPPED_WITHIN,
            });
        }
        let cleared_for_replicas = (0..room.placed.len()).any(stopped);
        if self.being_preempted_for[room_index] && !cleared_for_replicas {
            return None;
        }
        let (mut stops, mut lost) = (Vec::new(), Micros::ZERO);
        for held in preemptible_for(class, room).into_iter().filter(|&held| !stopped(held)) {
            free = free.plus(&room.placed[held].need, 1);
            lost = lost + room.placed[held].lost_work;
            stops.push(held);
            if free.fits(&class.need) > 0 {
                return Some(ReplicaPreemption { stops, lost, ready_in: STOPPED_WITHIN });
            }
        }
        None
    }

    /// What a replica on a machine of a type that is kept for larger tasks costs: replicas never end,
    /// so the larger task would have no whole machine any more.
    fn headroom_cost(&self, class: &JobClass, room_index: usize) -> Micros {
        let room = &self.snapshot.machines[room_index];
        let Some(keep) = self.snapshot.headroom_for(room.machine_type, room.spot) else {
            return Micros::ZERO;
        };
        if class.need.fits(&keep.need) > 0 {
            return Micros::ZERO;
        }
        let beside = capacity_beside_endless(room).minus(&self.endless[room_index], 1);
        if beside.minus(&class.need, 1).fits(&keep.need) > 0 {
            KEPT_TYPE
        } else {
            BREAKS_KEPT_ROOM
        }
    }
}

/// What a machine has beside the tasks on it that never end.
fn capacity_beside_endless(room: &MachineSnapshot) -> Resources {
    let endless = room.placed.iter().filter(|h: &&PlacedTask| h.is_replica);
    endless.fold(room.total, |n, h| n.minus(&h.need, 1))
}

/// A machine that has just sent a heartbeat, for replicas that wait: whether one may start on it
/// ahead of the next plan.
pub struct ReportingMachine<'a> {
    /// The room.
    pub machine: &'a MachineSnapshot,
    /// What a larger task takes for which its type is kept.
    pub headroom: Option<Resources>,
    /// Whether the service has half of its replicas in the room's zone already.
    pub crowded_zone: bool,
}

impl ReportingMachine<'_> {
    /// Whether one more replica may start here ahead of the next plan: it runs sooner than in `planned`,
    /// in the place that the plan gave it, if it gave it one. A place in another zone is waited for if
    /// there are many replicas in this one.
    pub fn runs_sooner(&self, class: &JobClass, planned: Option<Micros>) -> bool {
        let room = self.machine;
        let fits_beside =
            self.headroom.is_none_or(|k| capacity_beside_endless(room).minus(&class.need, 1).fits(&k) > 0);
        let here = Micros::from_secs(fetch_seconds(class, room)) + room.penalty;
        let sooner = planned.is_none_or(|planned| !self.crowded_zone && here < planned);
        allowed(class, room)
            && room.reclaimed_in.is_none()
            && fits_beside
            && room.free.fits(&class.need) > 0
            && sooner
    }
}

/// When a replica would run in a room, by its next report and its image.
pub fn runs_in(class: &JobClass, room: &MachineSnapshot) -> Micros {
    delay(class, room)
}
