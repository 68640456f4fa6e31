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
const LEAST_CHARGE: Micros = Micros::from_millis(60_000);

/// What to rent, and which rooms to return.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Machines to rent.
    pub rents: Vec<Rent>,
    /// Rooms to return.
    pub returns: Vec<usize>,
}

/// An offer on whose machines tasks of a class fit.
struct FittingOffer {
    offer: Offer,
    /// Price an hour for each task that fits.
    task_price: f64,
    /// How many tasks fit on a machine.
    fits: u32,
}

/// Waiting arrays that can use the same machines.
struct ArrayDemand<'a> {
    /// The first of them.
    class: &'a Class,
    /// Processor seconds of work.
    work: f64,
    /// Processors of all waiting tasks.
    cpus: f64,
}

/// When a room has place for one more task of a gang. Slots compare by their fields in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Micros,
    room: usize,
}

impl View<'_> {
    /// Whether a booting room can still be counted on.
    fn coming(&self, room: usize) -> bool {
        let boot = self.types[self.snapshot.rooms[room].ty].boot_s;
        !self.upkeep[room].booting || self.upkeep[room].age.secs() <= boot * self.policy.slow_boot
    }

    /// Offers for a class, cheapest per task first.
    fn offers(&self, class: &Class) -> Vec<FittingOffer> {
        let mut offers: Vec<FittingOffer> = Vec::new();
        for &ty in &class.types {
            let machine = &self.types[ty];
            let total = Need { cpus: machine.cpus, gpus: machine.gpus, memory: machine.memory_gb };
            let fits = total.fits(&class.need);
            for &zone in &self.zones[ty] {
                if fits == 0 || class.zone.is_some_and(|only| only != zone) {
                    continue;
                }
                let mut add = |spot: bool, price: f64| {
                    let offer = Offer { ty, zone, spot };
                    if !self.refused.contains(&offer) {
                        offers.push(FittingOffer { offer, task_price: price / f64::from(fits), fits });
                    }
                };
                add(false, machine.price);
                if let (true, Some(price)) = (class.spot, machine.spot_price.filter(|p| *p > 0.0)) {
                    add(true, price);
                }
            }
        }
        offers.sort_by(|a, b| a.task_price.total_cmp(&b.task_price).then(a.offer.cmp(&b.offer)));
        offers
    }

    /// When each room has place for tasks of a gang, by stated ends, soonest first: one entry for
    /// each task it takes beyond those in `used`.
    fn slots(&self, class: &Class, used: &[u32], most: u32) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (index, room) in self.snapshot.rooms.iter().enumerate() {
            let total = room.total.fits(&class.need);
            if !allowed(class, room) || room.until.is_some() || !self.coming(index) || total <= used[index] {
                continue;
            }
            let mut ends: Vec<_> = room.held.iter().map(|task| (task.left, task.need)).collect();
            ends.sort_by_key(|end| end.0);
            let mut ends = ends.into_iter();
            let mut free = room.free;
            let mut at = room.opens_in;
            let mut taken = used[index];
            while taken < total.min(used[index].saturating_add(most)) {
                while free.fits(&class.need) <= taken {
                    let Some((left, need)) = ends.next() else { break };
                    free = free.plus(&need, 1);
                    at = at.max(left);
                }
                if free.fits(&class.need) <= taken {
                    break;
                }
                taken += 1;
                slots.push(Slot { at, room: index });
            }
        }
        slots.sort_unstable();
        slots
    }

    /// Rents for the tasks of gangs that find no room soon.
    fn rent_for_gangs(&self, rents: &mut Vec<Rent>) {
        let mut used = vec![0u32; self.snapshot.rooms.len()];
        for &(class_index, left) in &self.plan.unmet {
            let class = &self.snapshot.classes[class_index];
            if !class.gang {
                continue;
            }
            let offers = self.offers(class);
            let boot_s = offers.first().map(|best| self.types[best.offer.ty].boot_s);
            let boot = boot_s.map_or(Micros::ZERO, Micros::from_secs);
            let mut found = 0u32;
            for Slot { at, room } in self.slots(class, &used, left) {
                // The promise of a room soon, by stated ends, counts only until it is broken.
                let promised = at <= boot && class.patience.0 > 0;
                if found < left && (promised || self.upkeep[room].booting) {
                    used[room] += 1;
                    found += 1;
                }
            }
            // Room rented for an earlier class in this same round has not been asked for it.
            rent_for_tasks(rents, left - found, offers.first());
        }
    }

    /// Rents for arrays whose work would not drain in time.
    fn rent_for_arrays(&self, rents: &mut Vec<Rent>) {
        for demand in self.array_demands() {
            let Some(FittingOffer { offer, .. }) = self.offers(demand.class).into_iter().next() else {
                continue;
            };
            let machine = &self.types[offer.ty];
            let supply = self.array_supply(demand.class, self.policy.drain.secs() + machine.boot_s);
            let falls_short = demand.work > supply;
            if !falls_short {
                continue;
            }
            let by_work = (demand.work - supply) / (machine.cpus * self.policy.drain.secs());
            // What waits cannot use more processors than it has, and some are coming already.
            let by_width = (demand.cpus - self.coming_cpus(demand.class)) / machine.cpus;
            // Less than half a machine is not worth one, unless there is none at all.
            let least = if supply > 0.0 { 0.0 } else { 1.0 };
            let count = by_work.min(by_width).round().max(least) as u32;
            if count > 0 {
                add(rents, Rent { offer, count });
            }
        }
    }

    /// Processors of machines that boot and that a class may use. Without counting them, a few tasks that
    /// had waited for long had machines rented for them again and again until the first was up.
    fn coming_cpus(&self, class: &Class) -> f64 {
        let rooms = self.snapshot.rooms.iter().enumerate();
        let coming =
            rooms.filter(|(index, _)| self.upkeep[*index].booting && self.serves_array(class, *index));
        coming.map(|(_, room)| room.free.cpus).sum()
    }

    /// What the waiting arrays ask for. Classes that can use the same machines share them; they are
    /// counted together.
    fn array_demands(&self) -> Vec<ArrayDemand<'_>> {
        let mut demands: Vec<ArrayDemand> = Vec::new();
        for &(class_index, left) in &self.plan.unmet {
            let class = &self.snapshot.classes[class_index];
            if class.gang || class.replicas.is_some() {
                continue;
            }
            let cpus = class.need.cpus.max(0.1) * f64::from(left);
            // Estimates may be mostly too low for a whole day; then room seems enough while jobs
            // wait. What has waited long counts for more.
            let pressed = (class.waited.secs() / (self.policy.drain.secs() / 2.0)).max(1.0);
            let work = cpus * class.adjusted.secs() * pressed;
            let alike = |other: &Class| {
                other.types == class.types && other.spot == class.spot && other.zone == class.zone
            };
            match demands.iter_mut().find(|demand| alike(demand.class)) {
                Some(demand) => {
                    demand.work += work;
                    demand.cpus += cpus;
                }
                None => demands.push(ArrayDemand { class, work, cpus }),
            }
        }
        demands
    }

    /// Whether an array's tasks can count on a room.
    fn serves_array(&self, class: &Class, index: usize) -> bool {
        let room = &self.snapshot.rooms[index];
        let kept = self.snapshot.kept(room.ty, room.spot).is_some_and(|kept| class.rank < kept.rank);
        let stays = room.until.is_none() && self.coming(index);
        allowed(class, room) && stays && !kept && room.total.fits(&class.need) > 0
    }

    /// Processor seconds that the rooms there are have for a class within so many seconds.
    fn array_supply(&self, class: &Class, horizon_s: f64) -> f64 {
        let mut supply = 0.0;
        for (index, room) in self.snapshot.rooms.iter().enumerate() {
            if !self.serves_array(class, index) {
                continue;
            }
            let late = if self.upkeep[index].booting { room.opens_in.secs() } else { 0.0 };
            let busy: f64 =
                room.held.iter().map(|task| task.need.cpus * task.left.secs().min(horizon_s)).sum();
            supply += (room.total.cpus * (horizon_s - late).max(0.0) - busy).max(0.0);
        }
        supply
    }

    /// Rents for replicas that found no place: whole machines, ordinary ones if they are to be had,
    /// since a replica outlives most spot machines.
    fn rent_for_services(&self, rents: &mut Vec<Rent>) {
        let rooms = &self.snapshot.rooms;
        let booting = |index: usize| self.upkeep[index].booting && self.coming(index);
        let mut coming: Vec<Need> = rooms
            .iter()
            .enumerate()
            .map(|(index, room)| if booting(index) { room.free } else { Need::default() })
            .collect();
        for &(class_index, left) in &self.plan.unmet {
            let class = &self.snapshot.classes[class_index];
            if class.replicas.is_none() {
                continue;
            }
            let mut missing = left;
            for (index, _) in rooms.iter().enumerate().filter(|(_, room)| allowed(class, room)) {
                let taken = coming[index].fits(&class.need).min(missing);
                coming[index] = coming[index].less(&class.need, taken);
                missing -= taken;
            }
            let offers = self.offers(class);
            let lasting = offers.iter().find(|fitting| !fitting.offer.spot).or(offers.first());
            rent_for_tasks(rents, missing, lasting);
        }
    }

    /// Whether the plan starts tasks on a room or reserves it.
    fn planned(&self, room: usize) -> bool {
        let reservation = self.plan.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.rooms.iter().any(|place| place.0 == room))
            || self.plan.starts.iter().any(|start| start.room == room)
    }

    /// How many machines like this one stay though idle. A spot machine that those for whom some stay
    /// may not use is kept for nobody.
    fn warm_count(&self, room: &Room) -> usize {
        let pool = self.warm.get(room.ty).copied().unwrap_or_default();
        if room.spot && !pool.spot {
            0
        } else {
            pool.count
        }
    }

    /// How long a room has to be idle to be returned.
    fn idle_limit(&self, room: &Room) -> Micros {
        match self.due.get(room.ty) {
            Some(true) => self.policy.idle_due,
            _ if self.warm_count(room) > 0 => self.policy.idle_kept,
            _ => self.policy.idle,
        }
    }

    /// The rooms to return.
    fn returns(&self) -> Vec<usize> {
        let mut left: Vec<usize> = vec![0; self.types.len()];
        for (room, upkeep) in self.snapshot.rooms.iter().zip(self.upkeep) {
            let counts = !upkeep.booting && room.until.is_none() && self.warm_count(room) > 0;
            left[room.ty] += usize::from(counts);
        }
        let mut returns = Vec::new();
        // The dear ones first.
        let mut by_price: Vec<usize> = (0..self.snapshot.rooms.len().min(self.upkeep.len())).collect();
        by_price.sort_by_key(|&index| std::cmp::Reverse(self.snapshot.rooms[index].rate));
        for index in by_price {
            let (room, upkeep) = (&self.snapshot.rooms[index], &self.upkeep[index]);
            let warm = self.warm_count(room);
            let idle = upkeep.idle.is_some_and(|idle| idle > self.idle_limit(room));
            // Under the least charge nothing is saved by giving a machine back.
            let charged = upkeep.age > LEAST_CHARGE;
            let spare = warm == 0 || left[room.ty] > warm;
            if idle && charged && spare && !self.planned(index) {
                left[room.ty] = left[room.ty].saturating_sub(usize::from(warm > 0));
                returns.push(index);
            }
        }
        returns
    }

    /// What to rent and to return.
    pub fn decide(&self) -> Decision {
        let mut rents = Vec::new();
        self.rent_for_gangs(&mut rents);
        self.rent_for_arrays(&mut rents);
        self.rent_for_services(&mut rents);
        Decision { rents, returns: self.returns() }
    }
}

/// Adds machines to what is rented.
fn add(rents: &mut Vec<Rent>, rent: Rent) {
    match rents.iter_mut().find(|other| other.offer == rent.offer) {
        Some(other) => other.count += rent.count,
        None => rents.push(rent),
    }
}

/// Adds as many machines of an offer as so many tasks need.
fn rent_for_tasks(rents: &mut Vec<Rent>, tasks: u32, best: Option<&FittingOffer>) {
    if let (true, Some(best)) = (tasks > 0, best) {
        let count = tasks.div_ceil(best.fits.max(1));
        add(rents, Rent { offer: best.offer, count });
    }
}
