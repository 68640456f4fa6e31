//! Scale out for job arrays: machines for waiting array work that would not drain in time.

use super::offers::{add_scale_out, FittingOffer};
use super::{CapacityView, ScaleOut};
use crate::sched::{may_use, JobClass};

/// Waiting arrays that can use the same machines.
struct ArrayDemand<'a> {
    /// The first of them.
    class: &'a JobClass,
    /// Processor seconds of waiting work, weighted up for what has waited long.
    work: f64,
    /// Processors of all their waiting tasks.
    cpus: f64,
}

impl CapacityView<'_> {
    /// Scales out for arrays whose waiting work would not drain within `policy.drain`.
    pub(super) fn scale_out_for_arrays(&self, rents: &mut Vec<ScaleOut>) {
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
                add_scale_out(rents, ScaleOut { offer, count });
            }
        }
    }

    /// Processors of machines that boot and that a class may use. Without counting them, a few tasks that
    /// had waited for long had machines rented for them again and again until the first was up.
    fn coming_cpus(&self, class: &JobClass) -> f64 {
        let rooms = self.snapshot.machines.iter().enumerate();
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
            if class.gang || class.replica_machines.is_some() {
                continue;
            }
            let cpus = class.need.cpus.max(0.1) * f64::from(left);
            // Estimates may be mostly too low for a whole day; then room seems enough while jobs
            // wait. What has waited long counts for more.
            let pressed = (class.waited.secs() / (self.policy.drain.secs() / 2.0)).max(1.0);
            let work = cpus * class.adjusted_runtime.secs() * pressed;
            let alike = |other: &JobClass| {
                other.machine_types == class.machine_types
                    && other.spot == class.spot
                    && other.zone == class.zone
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
    fn serves_array(&self, class: &JobClass, index: usize) -> bool {
        let room = &self.snapshot.machines[index];
        let kept = self.snapshot.is_below_reserved_priority(class, room);
        let stays = room.reclaimed_in.is_none() && self.coming(index);
        may_use(class, room) && stays && !kept && room.total.fits(&class.need) > 0
    }

    /// Processor seconds that the rooms there are have for a class within so many seconds.
    fn array_supply(&self, class: &JobClass, horizon_s: f64) -> f64 {
        let mut supply = 0.0;
        for (index, room) in self.snapshot.machines.iter().enumerate() {
            if !self.serves_array(class, index) {
                continue;
            }
            let late = if self.upkeep[index].booting { room.accepts_starts_in.secs() } else { 0.0 };
            let busy: f64 =
                room.placed.iter().map(|task| task.need.cpus * task.remaining.secs().min(horizon_s)).sum();
            supply += (room.total.cpus * (horizon_s - late).max(0.0) - busy).max(0.0);
        }
        supply
    }
}
