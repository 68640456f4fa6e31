//! Renting and returning: as pure as the planner. It sees the plan's unmet tasks and the rooms,
//! and says what to rent and which idle machines to give back.

use crate::sched::{allowed, Class, Need, Plan, Room, Snapshot};
use crate::time::Micros;
use crate::wire::MachineType;

/// What is said of a room beside the planner's view.
#[derive(Clone, Copy, Debug)]
pub struct Upkeep {
    /// Since the rental, as far as known.
    pub age: Micros,
    /// How long it has had nothing to do; none if it has.
    pub idle: Option<Micros>,
    /// Still booting.
    pub booting: bool,
}

/// An offer of the cloud: type, zone, kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Type by index.
    pub ty: usize,
    /// Zone by index.
    pub zone: usize,
    /// Spot.
    pub spot: bool,
}

/// Machines to rent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rent {
    /// What.
    pub offer: Offer,
    /// How many.
    pub count: u32,
}

/// Settings of renting and returning.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Waiting array work should drain in this time once machines are up.
    pub drain: Micros,
    /// Idle machines go back after this.
    pub idle: Micros,
    /// The same for types that a higher rank depends on.
    pub idle_kept: Micros,
    /// The same for types that jobs with deadlines use.
    pub idle_due: Micros,
    /// A boot longer than this many nominal ones does not count as coming.
    pub slow_boot: f64,
}

/// Machines of a type that stay though idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmPool {
    /// How many.
    pub count: usize,
    /// Whether those for whom they stay may use spot machines.
    pub spot: bool,
}

/// All that is looked at.
pub struct View<'a> {
    /// The planner's snapshot.
    pub snapshot: &'a Snapshot,
    /// Its plan.
    pub plan: &'a Plan,
    /// Beside each room.
    pub upkeep: &'a [Upkeep],
    /// Machine types.
    pub types: &'a [MachineType],
    /// Zones of each type, by index.
    pub zones: &'a [Vec<usize>],
    /// Offers refused lately.
    pub refused: &'a [Offer],
    /// By type, what stays though idle.
    pub warm: &'a [WarmPool],
    /// By type, whether jobs with deadlines used it of late.
    pub due: &'a [bool],
    /// Settings.
    pub policy: Policy,
}

/// The least time that is charged for a machine.
const LEAST_CHARGE: Micros = Micros(60_000_000);

/// What to rent, and which rooms to return.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Machines to rent.
    pub rents: Vec<Rent>,
    /// Rooms to return.
    pub returns: Vec<usize>,
}

impl View<'_> {
    /// Whether a booting room can still be counted on.
    fn coming(&self, m: usize) -> bool {
        let boot = self.types[self.snapshot.rooms[m].ty].boot_s;
        !self.upkeep[m].booting || self.upkeep[m].age.secs() <= boot * self.policy.slow_boot
    }

    /// Offers for a class, cheapest per task first.
    fn offers(&self, c: &Class) -> Vec<(Offer, u32)> {
        let mut v: Vec<(f64, Offer, u32)> = Vec::new();
        for &ty in &c.types {
            let t = &self.types[ty];
            let total = Need { cpus: t.cpus, gpus: t.gpus, memory: t.memory_gb };
            let fits = total.fits(&c.need);
            for &zone in &self.zones[ty] {
                if fits == 0 || c.zone.is_some_and(|z| z != zone) {
                    continue;
                }
                let mut add = |spot: bool, price: f64| {
                    let o = Offer { ty, zone, spot };
                    if !self.refused.contains(&o) {
                        v.push((price / f64::from(fits), o, fits));
                    }
                };
                add(false, t.price);
                if let (true, Some(p)) = (c.spot, t.spot_price.filter(|p| *p > 0.0)) {
                    add(true, p);
                }
            }
        }
        v.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        v.into_iter().map(|x| (x.1, x.2)).collect()
    }

    /// When each room has place for tasks of a gang, by stated ends, soonest first: one entry for
    /// each task it takes beyond those in `used`.
    fn slots(&self, c: &Class, used: &[u32], most: u32) -> Vec<(Micros, usize)> {
        let mut v = Vec::new();
        for (m, r) in self.snapshot.rooms.iter().enumerate() {
            let total = r.total.fits(&c.need);
            if !allowed(c, r) || r.until.is_some() || !self.coming(m) || total <= used[m] {
                continue;
            }
            let mut ends: Vec<_> = r.held.iter().map(|h| (h.left, h.need)).collect();
            ends.sort_by_key(|e| e.0);
            let mut ends = ends.into_iter();
            let mut free = r.free;
            let mut at = r.opens_in;
            let mut taken = used[m];
            while taken < total.min(used[m].saturating_add(most)) {
                while free.fits(&c.need) <= taken {
                    let Some((left, need)) = ends.next() else { break };
                    free = free.plus(&need, 1);
                    at = at.max(left);
                }
                if free.fits(&c.need) <= taken {
                    break;
                }
                taken += 1;
                v.push((at, m));
            }
        }
        v.sort_unstable();
        v
    }

    fn rent_for_gangs(&self, rents: &mut Vec<Rent>) {
        let mut used = vec![0u32; self.snapshot.rooms.len()];
        for &(class, left) in &self.plan.unmet {
            let c = &self.snapshot.classes[class];
            if !c.gang {
                continue;
            }
            let offers = self.offers(c);
            let boot = offers.first().map_or(Micros::ZERO, |o| Micros::from_secs(self.types[o.0.ty].boot_s));
            let mut found = 0u32;
            for (at, m) in self.slots(c, &used, left) {
                // The promise of a room soon, by stated ends, counts only until it is broken.
                if found < left && ((at <= boot && c.patience.0 > 0) || self.upkeep[m].booting) {
                    used[m] += 1;
                    found += 1;
                }
            }
            let missing = left - found;
            // Room rented for an earlier class in this same round has not been asked for it.
            if let (true, Some(&(offer, fits))) = (missing > 0, offers.first()) {
                add(rents, Rent { offer, count: missing.div_ceil(fits.max(1)) });
            }
        }
    }

    fn rent_for_arrays(&self, rents: &mut Vec<Rent>) {
        // Classes that can use the same machines share them; they are counted together.
        let mut groups: Vec<(&Class, f64, f64)> = Vec::new();
        for &(class, left) in &self.plan.unmet {
            let c = &self.snapshot.classes[class];
            if c.gang || c.replicas.is_some() {
                continue;
            }
            let cpus = c.need.cpus.max(0.1) * f64::from(left);
            // Estimates may be mostly too low for a whole day; then room seems enough while jobs
            // wait. What has waited long counts for more.
            let pressed = (c.waited.secs() / (self.policy.drain.secs() / 2.0)).max(1.0);
            let work = cpus * c.adjusted.secs() * pressed;
            match groups.iter_mut().find(|g| g.0.types == c.types && g.0.spot == c.spot && g.0.zone == c.zone)
            {
                Some(g) => {
                    g.1 += work;
                    g.2 += cpus;
                }
                None => groups.push((c, work, cpus)),
            }
        }
        for (c, work, cpus) in groups {
            let Some(&(offer, _)) = self.offers(c).first() else { continue };
            let t = &self.types[offer.ty];
            let boot = t.boot_s;
            let horizon = self.policy.drain.secs() + boot;
            let mut supply = 0.0;
            for (m, r) in self.snapshot.rooms.iter().enumerate() {
                let kept = self.snapshot.kept(r.ty, r.spot).is_some_and(|k| c.rank < k.rank);
                if !allowed(c, r)
                    || r.until.is_some()
                    || kept
                    || !self.coming(m)
                    || r.total.fits(&c.need) == 0
                {
                    continue;
                }
                let late = if self.upkeep[m].booting { r.opens_in.secs() } else { 0.0 };
                let busy: f64 = r.held.iter().map(|h| h.need.cpus * h.left.secs().min(horizon)).sum();
                supply += (r.total.cpus * (horizon - late).max(0.0) - busy).max(0.0);
            }
            if work > supply {
                let by_work = (work - supply) / (t.cpus * self.policy.drain.secs());
                let by_width = cpus / t.cpus;
                // Less than half a machine is not worth one, unless there is none at all.
                let least = if supply > 0.0 { 0.0 } else { 1.0 };
                let count = by_work.min(by_width).round().clamp(least, 1000.0) as u32;
                if count > 0 {
                    add(rents, Rent { offer, count });
                }
            }
        }
    }

    /// Rents for replicas that found no place: whole machines, ordinary ones if they are to be had,
    /// since a replica outlives most spot machines.
    fn rent_for_services(&self, rents: &mut Vec<Rent>) {
        let mut coming: Vec<Need> = self
            .snapshot
            .rooms
            .iter()
            .enumerate()
            .map(|(m, r)| if self.upkeep[m].booting && self.coming(m) { r.free } else { Need::default() })
            .collect();
        for &(class, left) in &self.plan.unmet {
            let c = &self.snapshot.classes[class];
            if c.replicas.is_none() {
                continue;
            }
            let mut missing = left;
            for (m, _) in self.snapshot.rooms.iter().enumerate().filter(|x| allowed(c, x.1)) {
                let taken = coming[m].fits(&c.need).min(missing);
                coming[m] = coming[m].less(&c.need, taken);
                missing -= taken;
            }
            let offers = self.offers(c);
            let lasting = offers.iter().find(|o| !o.0.spot).or(offers.first());
            if let (true, Some(&(offer, fits))) = (missing > 0, lasting) {
                add(rents, Rent { offer, count: missing.div_ceil(fits.max(1)) });
            }
        }
    }

    fn returns(&self) -> Vec<usize> {
        let reserved = |m: usize| {
            self.plan.reservation.as_ref().is_some_and(|r| r.rooms.iter().any(|x| x.0 == m))
                || self.plan.starts.iter().any(|s| s.room == m)
        };
        // A spot machine that those for whom some stay warm may not use is kept for nobody.
        let warm = |r: &Room| {
            let w = self.warm.get(r.ty).copied().unwrap_or_default();
            if r.spot && !w.spot {
                0
            } else {
                w.count
            }
        };
        let mut left: Vec<usize> = vec![0; self.types.len()];
        for (r, u) in self.snapshot.rooms.iter().zip(self.upkeep) {
            left[r.ty] += usize::from(!u.booting && r.until.is_none() && warm(r) > 0);
        }
        let mut out = Vec::new();
        // The dear ones first.
        let mut rooms: Vec<(usize, (&Room, &Upkeep))> =
            self.snapshot.rooms.iter().zip(self.upkeep).enumerate().collect();
        rooms.sort_by_key(|x| std::cmp::Reverse(x.1 .0.rate));
        for (m, (r, u)) in rooms {
            let warm = warm(r);
            let after = match self.due.get(r.ty) {
                Some(true) => self.policy.idle_due,
                _ if warm > 0 => self.policy.idle_kept,
                _ => self.policy.idle,
            };
            // Under the least charge nothing is saved by giving a machine back.
            let spare = warm == 0 || left[r.ty] > warm;
            if u.idle.is_some_and(|i| i > after) && u.age > LEAST_CHARGE && !reserved(m) && spare {
                left[r.ty] = left[r.ty].saturating_sub(usize::from(warm > 0));
                out.push(m);
            }
        }
        out
    }

    /// Decides.
    pub fn decide(&self) -> Decision {
        let mut rents = Vec::new();
        self.rent_for_gangs(&mut rents);
        self.rent_for_arrays(&mut rents);
        self.rent_for_services(&mut rents);
        Decision { rents, returns: self.returns() }
    }
}

fn add(rents: &mut Vec<Rent>, r: Rent) {
    match rents.iter_mut().find(|x| x.offer == r.offer) {
        Some(x) => x.count += r.count,
        None => rents.push(r),
    }
}
