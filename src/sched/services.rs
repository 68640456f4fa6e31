//! Services: replicas that run until their job is cancelled. Replicas start where they run soonest,
//! no two of a service on one machine while others will do, and in different zones as far as that
//! costs little time. Where no room is free soon enough, tasks of lower rank are stopped at once.

use super::placement::{allowed, delay, fetch_s};
use super::preemption::yields_to;
use super::work::Work;
use super::{Class, Held, Need, Room, Start};
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
const SAME_MACHINE: Micros = Micros::from_millis(30_000);

/// A room that could take a replica.
struct Candidate {
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

impl Work<'_> {
    /// Places as many of a service's waiting replicas as possible; returns how many found no place.
    pub(super) fn start_service(
        &mut self,
        class: usize,
        starts: &mut Vec<Start>,
        preempt: &mut Vec<(usize, usize)>,
    ) -> u32 {
        let c = &self.s.classes[class];
        let limited = self.want(class);
        if limited < c.count {
            // Its team's own lower work makes room within the limit.
            preempt.extend(self.within_limit(class));
        }
        let mut occupied: Vec<usize> = c.replicas.clone().unwrap_or_default();
        let mut left = limited;
        let mut candidates = self.service_candidates(class, &occupied);
        while left > 0 && !candidates.is_empty() {
            let best = self.best_candidate(class, &candidates);
            let chosen = candidates.swap_remove(best);
            let zone = self.s.rooms[chosen.room].zone;
            if self.zone_room(class, zone) == 0 {
                continue;
            }
            self.take(class, chosen.room, 1);
            self.claimed[chosen.room] |= !chosen.stops.is_empty();
            preempt.extend(chosen.stops.iter().map(|&held| (chosen.room, held)));
            starts.push(Start { class, room: chosen.room, count: 1 });
            occupied.push(chosen.room);
            left -= 1;
            // There may be room for another replica, if there is nowhere else to go.
            candidates.extend(self.service_candidate(class, chosen.room, &occupied));
        }
        c.count - (limited - left)
    }

    fn service_candidates(&self, class: usize, occupied: &[usize]) -> Vec<Candidate> {
        let rooms = 0..self.s.rooms.len();
        rooms.filter_map(|room| self.service_candidate(class, room, occupied)).collect()
    }

    /// The candidate to take next: its cost counts in steps, and with the zones as they stand.
    fn best_candidate(&self, class: usize, candidates: &[Candidate]) -> usize {
        let c = &self.s.classes[class];
        let crowded = |room: usize| self.zones[class][self.s.rooms[room].zone] >= c.tasks.div_ceil(2);
        let key = |x: &Candidate| {
            let zone = if crowded(x.room) { CROWDED_ZONE } else { Micros::ZERO };
            ((x.cost + zone).0 / STEP.0, x.lost, x.free_tenths, x.room)
        };
        let best = candidates.iter().enumerate().min_by_key(|x| key(x.1));
        best.map_or(0, |x| x.0)
    }

    /// What it takes to run a replica in a room; `None` if it cannot.
    fn service_candidate(&self, class: usize, room: usize, occupied: &[usize]) -> Option<Candidate> {
        let c = &self.s.classes[class];
        let r = &self.s.rooms[room];
        if !r.open || r.until.is_some() || !allowed(c, r) {
            return None;
        }
        let (stops, lost, wait) = self.make_room(c, room)?;
        let mut cost = wait + Micros::from_secs(fetch_s(c, r)) + r.penalty;
        if !stops.is_empty() {
            cost = cost + STOPPING_COSTS;
        }
        if occupied.contains(&room) {
            cost = cost + SAME_MACHINE;
        }
        cost = cost + self.kept_room_cost(c, room);
        let free_tenths = (self.free[room].cpus * 10.0) as i64;
        Some(Candidate { cost, lost, free_tenths, room, stops })
    }

    /// Which tasks have to be stopped for one more replica, the work that is lost by it, and when the
    /// machine can take the start.
    fn make_room(&self, c: &Class, room: usize) -> Option<(Vec<usize>, Micros, Micros)> {
        let r = &self.s.rooms[room];
        let stopping = r.held.iter().any(|h| h.stopping);
        let soon = if stopping { r.opens_in.min(STOPPED_WITHIN) } else { r.opens_in };
        if self.free[room].fits(&c.need) > 0 {
            return Some((Vec::new(), Micros::ZERO, soon));
        }
        let ending = r.held.iter().filter(|h| h.stopping);
        let mut free = ending.fold(self.free[room], |n, h| n.plus(&h.need, 1));
        if free.fits(&c.need) > 0 {
            return Some((Vec::new(), Micros::ZERO, STOPPED_WITHIN));
        }
        if self.claimed[room] {
            return None;
        }
        let mut victims: Vec<usize> = (0..r.held.len()).filter(|&h| yields_to(&r.held[h], c)).collect();
        victims.sort_by_key(|&h| r.held[h].lost);
        let (mut stops, mut lost) = (Vec::new(), Micros::ZERO);
        for h in victims {
            free = free.plus(&r.held[h].need, 1);
            lost = lost + r.held[h].lost;
            stops.push(h);
            if free.fits(&c.need) > 0 {
                return Some((stops, lost, STOPPED_WITHIN));
            }
        }
        None
    }

    /// What a replica on a machine of a type that is kept for larger tasks costs: replicas never end,
    /// so the larger task would have no whole machine any more.
    fn kept_room_cost(&self, c: &Class, room: usize) -> Micros {
        let r = &self.s.rooms[room];
        let Some(keep) = self.s.kept(r.ty, r.spot) else { return Micros::ZERO };
        if c.need.fits(&keep.need) > 0 {
            return Micros::ZERO;
        }
        if endless_room(r).less(&c.need, 1).fits(&keep.need) > 0 {
            KEPT_TYPE
        } else {
            BREAKS_KEPT_ROOM
        }
    }
}

/// What a machine has beside the tasks on it that never end.
fn endless_room(r: &Room) -> Need {
    let endless = r.held.iter().filter(|h: &&Held| h.endless);
    endless.fold(r.total, |n, h| n.less(&h.need, 1))
}

/// Whether one more replica may start in a room that has just reported, ahead of the next plan and
/// instead of the place that the plan gave it, since it runs sooner here.
pub fn runs_sooner(c: &Class, r: &Room, kept: Option<Need>, planned: Micros) -> bool {
    let fits_beside = kept.is_none_or(|k| endless_room(r).less(&c.need, 1).fits(&k) > 0);
    let here = Micros::from_secs(fetch_s(c, r)) + r.penalty;
    allowed(c, r) && r.until.is_none() && fits_beside && r.free.fits(&c.need) > 0 && here < planned
}

/// When a replica would run in a room, by its next report and its image.
pub fn runs_in(c: &Class, r: &Room) -> Micros {
    delay(c, r)
}
