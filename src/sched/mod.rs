//! The planner: a snapshot goes in, decisions come out. No clock, no I/O, no lock.
//!
//! Jobs are classes of like tasks and are decided by count. The queue goes by rank, then by
//! (wait / adjusted time)^3 x size. The first blocked job that can have one gets a reservation at
//! the earliest time its room frees by the running tasks' *stated* times; jobs behind it start now
//! only if, by their *adjusted* times, they do not delay it.

mod services;

pub use services::{runs_in, ReportedRoom};

use std::collections::BTreeSet;

use crate::time::Micros;
use crate::wire::Rank;

const EPS: f64 = 1e-6;

/// What a task takes, or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Processors.
    pub cpus: f64,
    /// Cards.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

impl Need {
    /// How many tasks of need `n` fit into this.
    pub fn fits(&self, n: &Need) -> u32 {
        let one = |have: f64, need: f64| {
            if need <= EPS {
                u32::MAX
            } else {
                ((have + EPS) / need).floor().clamp(0.0, 1e9) as u32
            }
        };
        one(self.cpus, n.cpus).min(one(self.gpus, n.gpus)).min(one(self.memory, n.memory))
    }

    /// This less `k` tasks of need `n`.
    pub fn less(&self, n: &Need, k: u32) -> Need {
        let k = f64::from(k);
        Need {
            cpus: self.cpus - n.cpus * k,
            gpus: self.gpus - n.gpus * k,
            memory: self.memory - n.memory * k,
        }
    }

    /// This and `k` tasks of need `n`.
    pub fn plus(&self, n: &Need, k: u32) -> Need {
        let k = f64::from(k);
        Need {
            cpus: self.cpus + n.cpus * k,
            gpus: self.gpus + n.gpus * k,
            memory: self.memory + n.memory * k,
        }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Held {
    /// What it takes.
    pub need: Need,
    /// Its job's rank.
    pub rank: Rank,
    /// Its job fits its team's guarantee.
    pub guaranteed: bool,
    /// Its team.
    pub team: usize,
    /// Until its stated end; overrunning tasks have a little left.
    pub left: Micros,
    /// Work lost if it is stopped now.
    pub lost: Micros,
    /// Whether it may be stopped for others: it runs and is not being stopped already.
    pub stoppable: bool,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Whether it runs until its job is cancelled.
    pub endless: bool,
}

impl Held {
    /// A replica of a service that is about to start.
    pub fn replica(c: &Class) -> Held {
        Held {
            need: c.need,
            rank: c.rank,
            guaranteed: c.guaranteed,
            team: c.team,
            left: FAR,
            lost: Micros::ZERO,
            stoppable: false,
            stopping: false,
            endless: true,
        }
    }
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Room {
    /// Index of its type.
    pub ty: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// All it has.
    pub total: Need,
    /// What is free.
    pub free: Need,
    /// Whether tasks may start on it now.
    pub open: bool,
    /// When it is expected to take a start: its next report, or the end of its boot.
    pub opens_in: Micros,
    /// Images it has or is fetching.
    pub images: Vec<u32>,
    /// Image fetch rate in GB a second.
    pub fetch_rate: f64,
    /// Price an hour of a processor, in thousandths.
    pub rate: i64,
    /// Added to its cost, for machines that did badly.
    pub penalty: Micros,
    /// Only tasks that end within this may start (a spot notice).
    pub until: Option<Micros>,
    /// The tasks on it.
    pub held: Vec<Held>,
}

/// A job with tasks that could start.
#[derive(Clone, Debug)]
pub struct Class {
    /// Rank.
    pub rank: Rank,
    /// It has waited so long that the queue counts it with this rank, if that is higher: otherwise more
    /// work of higher ranks than there is room would keep a wide gang waiting for ever. Nothing is
    /// stopped by it.
    pub raised: Option<Rank>,
    /// The team's index.
    pub team: usize,
    /// Whether the job fits its team's guarantee.
    pub guaranteed: bool,
    /// Tasks that could start now.
    pub count: u32,
    /// All tasks of the job.
    pub tasks: u32,
    /// All or none.
    pub gang: bool,
    /// What a task takes.
    pub need: Need,
    /// Allowed types by index; empty: none at all.
    pub types: Vec<usize>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half in one zone.
    pub spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// The image.
    pub image: Option<u32>,
    /// Its size in GB.
    pub image_gb: f64,
    /// Adjusted run time of a task.
    pub adjusted: Micros,
    /// Time since it was accepted.
    pub waited: Micros,
    /// Its tasks that are or may be somewhere, by zone.
    pub zones: Vec<u32>,
    /// How many of its aims it has missed, or will even if it starts now: beyond capacity, those
    /// that can still make more of theirs go first.
    pub lost: u8,
    /// How long it may still wait before others are stopped for it.
    pub patience: Micros,
    /// For a service: rooms with a replica of it, and those that one has left of late.
    pub replicas: Option<Vec<usize>>,
}

/// A team's use and limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamUse {
    /// What its tasks take, those possibly there included.
    pub used: Need,
    /// Most processors; 0: no limit.
    pub cpus_max: f64,
    /// Most cards; 0: no limit.
    pub gpus_max: f64,
}

impl TeamUse {
    /// How many more tasks of need `n` the limit allows.
    pub fn allows(&self, n: &Need) -> u32 {
        let one = |max: f64, used: f64, need: f64| {
            if max <= 0.0 || need <= EPS {
                u32::MAX
            } else {
                ((max - used + EPS) / need).floor().clamp(0.0, 1e9) as u32
            }
        };
        one(self.cpus_max, self.used.cpus, n.cpus).min(one(self.gpus_max, self.used.gpus, n.gpus))
    }
}

/// Room of a type kept for tasks of this need and at least this rank.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    /// What such a task takes.
    pub need: Need,
    /// Its rank.
    pub rank: Rank,
    /// Whether such tasks may use spot machines; if not, none of those is kept for them.
    pub spot: bool,
}

/// All that the planner sees.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Number of zones.
    pub zones: usize,
    /// The machines.
    pub rooms: Vec<Room>,
    /// The jobs.
    pub classes: Vec<Class>,
    /// The teams.
    pub teams: Vec<TeamUse>,
    /// By type, what lower ranks leave free.
    pub keep: Vec<Option<Keep>>,
    /// Whether the blocked head job gets a reservation.
    pub reserve: bool,
    /// Delays that differ by less than this count as alike for the lowest rank: it waits politely,
    /// and fills machines up rather than starting a moment sooner.
    pub coarse: Micros,
    /// The same for the others.
    pub fine: Micros,
    /// Rooms of a type that are kept clear for the tasks in `keep`; low ranks use the others and
    /// are stopped if need be.
    pub clear: usize,
}

impl Snapshot {
    /// What is kept on machines of a type and kind, if anything is.
    pub fn kept(&self, ty: usize, spot: bool) -> Option<Keep> {
        self.keep.get(ty).copied().flatten().filter(|k| k.spot || !spot)
    }
}

/// Tasks of a class to start on a room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The class.
    pub class: usize,
    /// The room.
    pub room: usize,
    /// How many.
    pub count: u32,
}

/// The blocked head job's reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The class.
    pub class: usize,
    /// When its room is free.
    pub at: Micros,
    /// The rooms, with the tasks on each.
    pub rooms: Vec<(usize, u32)>,
}

/// The planner's decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Tasks to start now.
    pub starts: Vec<Start>,
    /// The reservation.
    pub reservation: Option<Reservation>,
    /// Tasks to stop: room and place in its `held`.
    pub preempt: Vec<(usize, usize)>,
    /// Tasks that found no room, by class, in queue order.
    pub unmet: Vec<(usize, u32)>,
    /// By type, whether tasks wait that it is kept for: nothing lower starts on it.
    pub wanted: Vec<bool>,
}

impl Class {
    /// The rank that counts in the queue.
    pub fn queue_rank(&self) -> Rank {
        self.raised.map_or(self.rank, |r| r.max(self.rank))
    }
}

/// The queue's score within a rank: (wait / adjusted time)^3 x size.
pub fn score(c: &Class) -> f64 {
    let wait = c.waited.secs().max(0.001);
    let time = c.adjusted.secs().max(0.001);
    let size = c.need.cpus.max(c.need.gpus).max(0.1) * f64::from(c.count.max(1));
    (wait / time).powi(3) * size
}

/// The queue's order: guaranteed work, then rank, then fewest aims lost, then score.
pub fn order(classes: &[Class]) -> Vec<usize> {
    let mut by: Vec<(usize, f64)> = classes.iter().map(score).enumerate().collect();
    by.sort_by(|a, b| {
        let (x, y) = (&classes[a.0], &classes[b.0]);
        (y.guaranteed, y.queue_rank(), x.lost)
            .cmp(&(x.guaranteed, x.queue_rank(), y.lost))
            .then(b.1.total_cmp(&a.1))
            .then(a.0.cmp(&b.0))
    });
    by.into_iter().map(|x| x.0).collect()
}

struct Work<'a> {
    s: &'a Snapshot,
    free: Vec<Need>,
    /// Room that low ranks may still take where some is kept for others.
    spare: Vec<Option<Need>>,
    teams: Vec<TeamUse>,
    /// With a reservation: what is left at its time on its rooms.
    shadow: Vec<Option<Need>>,
    at: Micros,
    zones: Vec<Vec<u32>>,
    /// Types for whose kept tasks some wait: nothing lower starts on them now.
    wanted: Vec<bool>,
    /// Rooms on which tasks are being stopped for a class already.
    claimed: Vec<bool>,
    /// Tasks that this plan stops for replicas: room and place in its list.
    stops_for_replicas: BTreeSet<(usize, usize)>,
    /// What this plan has given to replicas, which never end, by room.
    endless: Vec<Need>,
    /// By team: what its first gang that is held back by the limit takes of it, and when.
    held_back: Vec<Option<Claim>>,
    /// By team: a gang is held back by the limit, whether it has room or not.
    behind: Vec<bool>,
    /// By team: stated ends of what this plan starts.
    ends: Vec<Vec<(Micros, Need, u32)>>,
}

/// A gang's claim on its team's limit.
#[derive(Clone, Copy)]
struct Claim {
    need: Need,
    count: u32,
    /// When, by stated ends, the limit lets it start.
    at: Micros,
}

/// Later than anything that is planned.
const FAR: Micros = Micros(86_400_000_000);

impl<'a> Work<'a> {
    fn new(s: &'a Snapshot) -> Work<'a> {
        // Of each type, the first few rooms that could take the kept task stay clear for it.
        let mut clear = vec![0usize; s.keep.len()];
        let spare = s
            .rooms
            .iter()
            .map(|r| {
                let k = s.kept(r.ty, r.spot)?;
                if clear[r.ty] >= s.clear || r.free.fits(&k.need) == 0 || r.until.is_some() {
                    return None;
                }
                clear[r.ty] += 1;
                let low = r.held.iter().filter(|h| h.rank < k.rank);
                Some(low.fold(r.total.less(&k.need, 1), |n, h| n.less(&h.need, 1)))
            })
            .collect();
        Work {
            s,
            free: s.rooms.iter().map(|r| r.free).collect(),
            spare,
            teams: s.teams.clone(),
            shadow: vec![None; s.rooms.len()],
            at: Micros::ZERO,
            zones: s.classes.iter().map(|c| c.zones.clone()).collect(),
            wanted: vec![false; s.keep.len()],
            claimed: vec![false; s.rooms.len()],
            stops_for_replicas: BTreeSet::new(),
            endless: vec![Need::default(); s.rooms.len()],
            held_back: vec![None; s.teams.len()],
            behind: vec![false; s.teams.len()],
            ends: vec![Vec::new(); s.teams.len()],
        }
    }

    fn low(&self, c: &Class, r: &Room) -> bool {
        self.s.kept(r.ty, r.spot).is_some_and(|k| c.rank < k.rank)
    }

    /// How many tasks of the class could start there now.
    fn fit(&self, c: &Class, m: usize) -> u32 {
        let r = &self.s.rooms[m];
        if !r.open || !allowed(c, r) {
            return 0;
        }
        let mut n = self.free[m].fits(&c.need);
        if n > 0 && self.low(c, r) {
            if self.wanted[r.ty] {
                return 0;
            }
            n = n.min(self.spare[m].map_or(n, |s| s.fits(&c.need)));
        }
        let runs = delay(c, r) + c.adjusted;
        if r.until.is_some_and(|u| runs > u) {
            return 0;
        }
        match &self.shadow[m] {
            // It would still be there when the reserved job comes: only what that job leaves.
            Some(left) if runs > self.at => n.min(left.fits(&c.need)),
            _ => n,
        }
    }

    fn take(&mut self, class: usize, m: usize, n: u32) {
        let c = &self.s.classes[class];
        let r = &self.s.rooms[m];
        self.free[m] = self.free[m].less(&c.need, n);
        if self.low(c, r) {
            self.spare[m] = self.spare[m].map(|x| x.less(&c.need, n));
        }
        if delay(c, r) + c.adjusted > self.at {
            self.shadow[m] = self.shadow[m].map(|x| x.less(&c.need, n));
        }
        if let Some(t) = self.teams.get_mut(c.team) {
            t.used = t.used.plus(&c.need, n);
            self.ends[c.team].push((delay(c, r) + c.adjusted, c.need, n));
        }
        if c.replicas.is_some() {
            self.endless[m] = self.endless[m].plus(&c.need, n);
        }
        self.zones[class][r.zone] += n;
    }

    /// The rooms for a class, best first.
    fn candidates(&self, c: &Class) -> Vec<usize> {
        let tenths = |cpus: f64| (cpus * 10.0) as i64;
        let mut v: Vec<(bool, i64, i64, i64, i64, usize)> = (0..self.s.rooms.len())
            .filter(|&m| self.fit(c, m) > 0)
            .map(|m| {
                let r = &self.s.rooms[m];
                // Reports come every few seconds anyway: within that, cheap and small rooms go before large
                // ones and full ones before empty ones, so that others empty and can be returned.
                let step = if c.rank == Rank::Idle { self.s.coarse } else { self.s.fine };
                let delay = delay(c, r).0 / step.0.max(1);
                (self.low(c, r), delay, r.rate, tenths(r.total.cpus), tenths(self.free[m].cpus), m)
            })
            .collect();
        v.sort_unstable();
        v.into_iter().map(|x| x.5).collect()
    }

    /// How many tasks of the class may still go to the zone.
    fn zone_room(&self, class: usize, zone: usize) -> u32 {
        let c = &self.s.classes[class];
        let at = &self.zones[class];
        if c.one_zone && at.iter().enumerate().any(|(z, &n)| z != zone && n > 0) {
            return 0;
        }
        if c.spread {
            return c.tasks.div_ceil(2).saturating_sub(at[zone]);
        }
        u32::MAX
    }

    /// How many tasks of the class its team's limit lets start. What a gang of the team waits for is
    /// left to it, unless the class ends before.
    fn want(&self, class: usize) -> u32 {
        let c = &self.s.classes[class];
        let Some(t) = self.teams.get(c.team) else { return c.count };
        let mut t = *t;
        if let Some(claim) = self.held_back[c.team].filter(|x| c.adjusted + self.s.coarse > x.at) {
            t.used = t.used.plus(&claim.need, claim.count);
        }
        c.count.min(t.allows(&c.need))
    }

    /// When, by stated ends, the team's limit lets the class start whole.
    fn limit_frees(&self, class: usize) -> Micros {
        let c = &self.s.classes[class];
        let Some(mut t) = self.teams.get(c.team).copied() else { return Micros::ZERO };
        let held = self.s.rooms.iter().flat_map(|r| &r.held).filter(|h| h.team == c.team);
        let mut ends: Vec<(Micros, Need, u32)> =
            held.map(|h| (if h.stopping { Micros::ZERO } else { h.left }, h.need, 1)).collect();
        ends.extend(&self.ends[c.team]);
        ends.sort_unstable_by_key(|e| e.0);
        for (at, need, n) in ends {
            t.used = t.used.less(&need, n);
            if t.allows(&c.need) >= c.count {
                return at;
            }
        }
        FAR
    }

    fn start_array(&mut self, class: usize, starts: &mut Vec<Start>) -> u32 {
        let c = &self.s.classes[class];
        let mut want = self.want(class);
        for m in self.candidates(c) {
            if want == 0 {
                break;
            }
            let n = self.fit(c, m).min(want).min(self.zone_room(class, self.s.rooms[m].zone));
            if n > 0 {
                self.take(class, m, n);
                starts.push(Start { class, room: m, count: n });
                want -= n;
            }
        }
        want
    }

    /// Places a whole gang, or nothing. `fit` says how many tasks a room takes.
    fn whole(&self, class: usize, rooms: &[usize], fit: &dyn Fn(usize) -> u32) -> Option<Vec<(usize, u32)>> {
        let c = &self.s.classes[class];
        let zones: Vec<Option<usize>> =
            if c.one_zone { (0..self.s.zones).map(Some).collect() } else { vec![None] };
        for only in zones {
            let mut left = c.count;
            let mut at = self.zones[class].clone();
            let mut places = Vec::new();
            for &m in rooms {
                let z = self.s.rooms[m].zone;
                if left == 0 {
                    break;
                }
                if only.is_some_and(|o| o != z) {
                    continue;
                }
                let mut n = fit(m).min(left);
                if c.one_zone && at.iter().enumerate().any(|(o, &k)| o != z && k > 0) {
                    n = 0;
                }
                if c.spread {
                    n = n.min(c.tasks.div_ceil(2).saturating_sub(at[z]));
                }
                if n > 0 {
                    at[z] += n;
                    left -= n;
                    places.push((m, n));
                }
            }
            if left == 0 {
                return Some(places);
            }
        }
        None
    }

    fn start_gang(&mut self, class: usize, starts: &mut Vec<Start>) -> bool {
        let c = &self.s.classes[class];
        if self.want(class) < c.count {
            return false;
        }
        let rooms = self.candidates(c);
        let Some(places) = self.whole(class, &rooms, &|m| self.fit(c, m)) else { return false };
        for (m, n) in places {
            self.take(class, m, n);
            starts.push(Start { class, room: m, count: n });
        }
        true
    }

    /// Where a gang would go now, whatever its team's limit says.
    fn room_now(&self, class: usize) -> Option<Vec<(usize, u32)>> {
        let rooms = self.candidates(&self.s.classes[class]);
        self.whole(class, &rooms, &|m| self.fit(&self.s.classes[class], m))
    }

    /// What is free on a room at a time, by stated ends.
    fn free_at(&self, m: usize, at: Micros) -> Need {
        let r = &self.s.rooms[m];
        if r.opens_in > at && !r.open {
            return Need::default();
        }
        r.held.iter().filter(|h| h.left <= at).fold(self.free[m], |n, h| n.plus(&h.need, 1))
    }

    fn reserve(&mut self, class: usize) -> Option<Reservation> {
        let c = &self.s.classes[class];
        let rooms: Vec<usize> = (0..self.s.rooms.len())
            .filter(|&m| {
                let r = &self.s.rooms[m];
                allowed(c, r) && r.until.is_none() && r.total.fits(&c.need) > 0
            })
            .collect();
        let at = self.earliest(class, &rooms)?;
        let fit = |m: usize| self.free_at(m, at).fits(&c.need);
        let places = if c.gang {
            self.whole(class, &rooms, &fit)?
        } else {
            let m =
                *rooms.iter().find(|&&m| fit(m) > 0 && self.zone_room(class, self.s.rooms[m].zone) > 0)?;
            vec![(m, 1)]
        };
        Some(self.hold(class, at, places))
    }

    /// Reserves rooms for the class from a time on.
    fn hold(&mut self, class: usize, at: Micros, rooms: Vec<(usize, u32)>) -> Reservation {
        self.at = at;
        for &(m, n) in &rooms {
            self.shadow[m] = Some(self.free_at(m, at).less(&self.s.classes[class].need, n));
        }
        Reservation { class, at, rooms }
    }

    /// The earliest moment at which, by stated ends, the class finds its room: the whole of a
    /// gang, one task of an array. One sweep over the ends, with the room counted by zone.
    fn earliest(&self, class: usize, rooms: &[usize]) -> Option<Micros> {
        let c = &self.s.classes[class];
        // When a room opens and when a task on it ends, with what comes free.
        let mut events: Vec<(Micros, usize, Need)> = Vec::new();
        let mut free = vec![None; self.s.rooms.len()];
        for &m in rooms {
            let r = &self.s.rooms[m];
            if r.open {
                free[m] = Some(self.free[m]);
            } else {
                events.push((r.opens_in, m, Need::default()));
            }
            events.extend(r.held.iter().map(|h| (h.left, m, h.need)));
        }
        events.sort_unstable_by_key(|e| (e.0, e.1));
        let mut fits = vec![0u32; self.s.rooms.len()];
        let mut by_zone = vec![0u64; self.s.zones.max(1)];
        for &m in rooms {
            if let Some(f) = &free[m] {
                fits[m] = f.fits(&c.need);
                by_zone[self.s.rooms[m].zone] += u64::from(fits[m]);
            }
        }
        // What ends on a room before it opens counts from then on.
        let mut early: Vec<Need> = vec![Need::default(); self.s.rooms.len()];
        let mut i = 0;
        while i < events.len() {
            let at = events[i].0;
            while let Some(&(_, m, need)) = events.get(i).filter(|e| e.0 == at) {
                let r = &self.s.rooms[m];
                if free[m].is_none() {
                    early[m] = early[m].plus(&need, 1);
                    if at >= r.opens_in {
                        free[m] = Some(self.free[m].plus(&early[m], 1));
                    }
                } else {
                    free[m] = free[m].map(|f: Need| f.plus(&need, 1));
                }
                if let Some(f) = &free[m] {
                    let now = f.fits(&c.need);
                    by_zone[r.zone] += u64::from(now) - u64::from(fits[m]).min(u64::from(now));
                    fits[m] = now;
                }
                i += 1;
            }
            if self.enough(class, &by_zone) {
                return Some(at);
            }
        }
        None
    }

    /// Whether so much room in each zone takes a gang whole, or a task of an array.
    fn enough(&self, class: usize, by_zone: &[u64]) -> bool {
        let c = &self.s.classes[class];
        let at = &self.zones[class];
        let takes = |z: usize, have: u64| {
            let elsewhere = at.iter().enumerate().any(|(o, &k)| o != z && k > 0);
            if c.one_zone && elsewhere {
                0
            } else if c.spread {
                have.min(u64::from(c.tasks.div_ceil(2).saturating_sub(at.get(z).copied().unwrap_or(0))))
            } else {
                have
            }
        };
        let by = || by_zone.iter().enumerate().map(|(z, &n)| takes(z, n));
        if !c.gang {
            return by().any(|n| n > 0);
        }
        let most = if c.one_zone { by().max().unwrap_or(0) } else { by().sum() };
        most >= u64::from(c.count)
    }

    /// Tasks of the same team and lower rank to stop so that the limit lets the class start, once
    /// it has waited long enough.
    fn within_limit(&self, class: usize) -> Vec<(usize, usize)> {
        let c = &self.s.classes[class];
        let Some(mut t) = self.teams.get(c.team).copied() else { return Vec::new() };
        if c.patience.0 > 0 {
            return Vec::new();
        }
        let mut victims: Vec<(Micros, usize, usize)> = Vec::new();
        for (m, r) in self.s.rooms.iter().enumerate() {
            for (i, h) in r.held.iter().enumerate().filter(|x| x.1.team == c.team) {
                if h.stopping {
                    t.used = t.used.less(&h.need, 1);
                } else if yields_to(h, c) {
                    victims.push((h.lost, m, i));
                }
            }
        }
        victims.sort_unstable();
        let mut out = Vec::new();
        for (_, m, i) in victims {
            if t.allows(&c.need) >= c.count {
                return out;
            }
            t.used = t.used.less(&self.s.rooms[m].held[i].need, 1);
            out.push((m, i));
        }
        if t.allows(&c.need) >= c.count {
            out
        } else {
            Vec::new()
        }
    }

    /// Tasks to stop so that the class can start: where least is lost, with the time that the
    /// class's image would take to fetch counted as lost too.
    fn preempt(&mut self, class: usize) -> Vec<(usize, usize)> {
        let c = &self.s.classes[class];
        let mut options: Vec<(Micros, usize, Vec<usize>, u32)> = Vec::new();
        for (m, r) in self.s.rooms.iter().enumerate() {
            if !r.open || r.until.is_some() || self.claimed[m] || !allowed(c, r) {
                continue;
            }
            let fetch = Micros::from_secs(fetch_s(c, r) * c.need.cpus.max(0.1));
            let coming = r.held.iter().filter(|h| h.stopping).fold(self.free[m], |n, h| n.plus(&h.need, 1));
            if coming.fits(&c.need) > 0 {
                options.push((fetch, m, Vec::new(), coming.fits(&c.need)));
                continue;
            }
            let mut victims: Vec<usize> = (0..r.held.len()).filter(|&h| yields_to(&r.held[h], c)).collect();
            victims.sort_by_key(|&h| r.held[h].lost);
            let (mut free, mut lost, mut chosen) = (coming, fetch, Vec::new());
            for h in victims {
                if free.fits(&c.need) > 0 {
                    break;
                }
                free = free.plus(&r.held[h].need, 1);
                lost = lost + r.held[h].lost;
                chosen.push(h);
            }
            if free.fits(&c.need) > 0 {
                options.push((lost, m, chosen, free.fits(&c.need)));
            }
        }
        options.sort();
        let rooms: Vec<usize> = options.iter().map(|o| o.1).collect();
        let mut by_room: Vec<Option<usize>> = vec![None; self.s.rooms.len()];
        for (i, o) in options.iter().enumerate() {
            by_room[o.1] = Some(i);
        }
        let fit = |m: usize| by_room[m].map_or(0, |i| options[i].3);
        let places = if c.gang {
            self.whole(class, &rooms, &fit)
        } else {
            rooms.iter().find(|&&m| self.zone_room(class, self.s.rooms[m].zone) > 0).map(|&m| vec![(m, 1)])
        };
        let places = places.unwrap_or_default();
        for &(m, _) in &places {
            self.claimed[m] = true;
        }
        let chosen = |m: usize| by_room[m].map(|i| options[i].2.clone()).unwrap_or_default();
        places.into_iter().flat_map(|(m, _)| chosen(m).into_iter().map(move |h| (m, h))).collect()
    }
}

/// Decides.
pub fn plan(s: &Snapshot) -> Plan {
    let mut out = Plan::default();
    let mut w = Work::new(s);
    for class in order(&s.classes) {
        let c = &s.classes[class];
        if c.count == 0 {
            continue;
        }
        // A limit holds a job back without giving it a claim to room.
        let limited = w.want(class);
        let left = if c.gang {
            if w.start_gang(class, &mut out.starts) {
                0
            } else if limited < c.count && w.behind.get(c.team) == Some(&true) {
                // Behind another of its team.
                continue;
            } else if let Some(rooms) = w.room_now(class).filter(|_| limited < c.count) {
                // Held back by its team's limit alone: the team's lower jobs must not take what frees,
                // or a gang would starve behind its own team's small tasks. One gang of a team at a time,
                // and only while it has room: with a claim for each, or stops for one that then had no
                // room, a team at its limit stood still, or had the same tasks stopped over and over.
                let stops = w.within_limit(class);
                let at = if stops.is_empty() { w.limit_frees(class) } else { Micros::ZERO };
                out.preempt.extend(stops);
                w.behind[c.team] = true;
                w.held_back[c.team] = Some(Claim { need: c.need, count: c.count, at });
                if out.reservation.is_none() && s.reserve {
                    out.reservation = Some(w.hold(class, at, rooms));
                }
                continue;
            } else {
                if let (true, Some(b)) = (limited < c.count, w.behind.get_mut(c.team)) {
                    *b = true;
                }
                c.count
            }
        } else if c.replicas.is_some() {
            w.start_service(class, &mut out.starts, &mut out.preempt)
        } else {
            w.start_array(class, &mut out.starts)
        };
        if left == 0 {
            continue;
        }
        out.unmet.push((class, left));
        for &ty in &c.types {
            let kept = s.kept(ty, false).is_some_and(|k| c.rank >= k.rank);
            if let (true, Some(w)) = (kept, w.wanted.get_mut(ty)) {
                *w = true;
            }
        }
        if c.replicas.is_some() {
            // All that can be stopped for it is; what it needs beyond that has to be rented.
            continue;
        }
        if out.reservation.is_none() && s.reserve {
            out.reservation = w.reserve(class);
            let far = out.reservation.as_ref().is_none_or(|r| r.at > c.patience);
            if far {
                out.preempt.extend(w.preempt(class));
            }
        } else if c.patience.0 <= 0 {
            // Not the head, but out of patience as well: each finds rooms of its own.
            out.preempt.extend(w.preempt(class));
        }
    }
    out.wanted = w.wanted;
    out
}

/// A class that waited longer than this is not passed over for one whose image is there already.
const PASSED_OVER: Micros = Micros(60_000_000);

/// Between two plans: what of the array tasks that found no room may start on a machine that has
/// room now. Called for machines outside the reservation on which nothing is being stopped, so it
/// delays nobody that the plan made wait for them; jobs tied to zones and teams with a limit are
/// left to the next plan. It goes in the queue's order, but among jobs of one rank that have lost as
/// many aims, those whose image the machine has go first: where all machines are in use, each would
/// otherwise fetch every image, and fetching takes as much of its time as running. What it starts
/// is taken off `unmet`.
pub fn top_up(s: &Snapshot, wanted: &[bool], unmet: &mut [(usize, u32)], room: &Room) -> Vec<(usize, u32)> {
    let mut out = Vec::new();
    let mut free = room.free;
    let kept = s.kept(room.ty, room.spot);
    let has = |c: &Class| c.image.is_none_or(|i| room.images.contains(&i));
    let group = |c: &Class| (c.guaranteed, c.queue_rank(), c.lost);
    let may = |c: &Class| {
        let limited = s.teams.get(c.team).is_some_and(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0);
        let low = kept.is_some_and(|k| c.rank < k.rank);
        let clear = low && (s.clear > 0 || wanted.get(room.ty).copied().unwrap_or(false));
        let ends = room.until.is_none_or(|u| delay(c, room) + c.adjusted <= u);
        !(c.gang || c.one_zone || c.spread || limited || clear) && allowed(c, room) && ends
    };
    let mut from = 0;
    while from < unmet.len() && free.cpus > EPS {
        // Classes of one group stand together in the queue.
        let of = group(&s.classes[unmet[from].0]);
        let to = (from..unmet.len()).find(|&i| group(&s.classes[unmet[i].0]) != of).unwrap_or(unmet.len());
        for first in [true, false] {
            for (class, left) in unmet[from..to].iter_mut().filter(|u| u.1 > 0) {
                let c = &s.classes[*class];
                let now = has(c) || c.waited > PASSED_OVER;
                if now != first || !may(c) {
                    continue;
                }
                let n = free.fits(&c.need).min(*left);
                if n > 0 {
                    free = free.less(&c.need, n);
                    *left -= n;
                    out.push((*class, n));
                }
            }
        }
        from = to;
    }
    out
}

/// Whether a task may be stopped for the class. What goes before it in the queue, by its team's guarantee,
/// is not: it would begin again at once, and be stopped again.
fn yields_to(h: &Held, c: &Class) -> bool {
    h.stoppable && h.rank < c.rank && (c.guaranteed || !h.guaranteed)
}

/// Whether the class may use the room at all.
pub(crate) fn allowed(c: &Class, r: &Room) -> bool {
    c.types.contains(&r.ty) && c.zone.is_none_or(|z| z == r.zone) && (c.spot || !r.spot)
}

/// Seconds that the class's image takes to fetch there.
fn fetch_s(c: &Class, r: &Room) -> f64 {
    match c.image {
        Some(i) if !r.images.contains(&i) => c.image_gb / r.fetch_rate.max(0.001),
        _ => 0.0,
    }
}

/// Until a task of the class would run there.
fn delay(c: &Class, r: &Room) -> Micros {
    r.opens_in + Micros::from_secs(fetch_s(c, r)) + r.penalty
}
