//! Cloud offers whose machines fit tasks of a class, and adding machines to the scale-out list.

use super::{Autoscaler, MachineOffer, ScaleOutItem};
use crate::sched::{JobClass, Resources};

/// An offer whose machines fit tasks of a class.
pub(super) struct FittingOffer {
    /// The offer.
    pub(super) offer: MachineOffer,
    /// Price per hour of a machine, divided by the number of tasks that fit on it.
    pub(super) task_price: f64,
    /// How many tasks of the class fit on one machine.
    pub(super) tasks_per_machine: u32,
}

impl Autoscaler<'_> {
    /// The offers that fit a class, cheapest per task first.
    pub(super) fn fitting_offers(&self, class: &JobClass) -> Vec<FittingOffer> {
        let mut offers: Vec<FittingOffer> = Vec::new();
        for &type_index in &class.machine_types {
            self.add_fitting_offers(class, type_index, &mut offers);
        }
        offers.sort_by(|a, b| a.task_price.total_cmp(&b.task_price).then(a.offer.cmp(&b.offer)));
        offers
    }

    /// Adds the offers of one machine type that fit a class.
    fn add_fitting_offers(&self, class: &JobClass, type_index: usize, offers: &mut Vec<FittingOffer>) {
        let machine_type = &self.types[type_index];
        let total =
            Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory: machine_type.memory_gb };
        let tasks_per_machine = total.fits(&class.need);
        if tasks_per_machine == 0 {
            return;
        }
        for &zone in &self.zones[type_index] {
            if class.zone.is_some_and(|only| only != zone) {
                continue;
            }
            let mut add = |spot: bool, price: f64| {
                let offer = MachineOffer { type_index, zone, spot };
                if !self.refused.contains(&offer) {
                    let task_price = price / f64::from(tasks_per_machine);
                    offers.push(FittingOffer { offer, task_price, tasks_per_machine });
                }
            };
            add(false, machine_type.price);
            if let (true, Some(price)) = (class.spot, machine_type.spot_price.filter(|price| *price > 0.0)) {
                add(true, price);
            }
        }
    }
}

/// Adds machines to the scale-out list. If the list already has an item of the same offer, increases its
/// count.
pub(super) fn add_scale_out(scale_out: &mut Vec<ScaleOutItem>, item: ScaleOutItem) {
    match scale_out.iter_mut().find(|other| other.offer == item.offer) {
        Some(other) => other.count += item.count,
        None => scale_out.push(item),
    }
}

/// Adds as many machines of the offer `best` as `tasks` tasks need; does nothing without an offer.
pub(super) fn scale_out_for_tasks(
    scale_out: &mut Vec<ScaleOutItem>,
    tasks: u32,
    best: Option<&FittingOffer>,
) {
    if let (true, Some(best)) = (tasks > 0, best) {
        let count = tasks.div_ceil(best.tasks_per_machine.max(1));
        add_scale_out(scale_out, ScaleOutItem { offer: best.offer, count });
    }
}
