//! Cloud offers on whose machines tasks of a class fit, and adding machines to the scale-out list.

use super::{CapacityView, Offer, ScaleOut};
use crate::sched::{JobClass, Resources};

/// An offer on whose machines tasks of a class fit.
pub(super) struct FittingOffer {
    /// The offer.
    pub(super) offer: Offer,
    /// Price an hour for each task that fits.
    pub(super) task_price: f64,
    /// How many tasks fit on a machine.
    pub(super) fits: u32,
}

impl CapacityView<'_> {
    /// Offers for a class, cheapest per task first.
    pub(super) fn offers(&self, class: &JobClass) -> Vec<FittingOffer> {
        let mut offers: Vec<FittingOffer> = Vec::new();
        for &ty in &class.machine_types {
            let machine = &self.types[ty];
            let total = Resources { cpus: machine.cpus, gpus: machine.gpus, memory: machine.memory_gb };
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
}

/// Adds machines to the scale-out list, merged with an entry of the same offer.
pub(super) fn add_scale_out(rents: &mut Vec<ScaleOut>, rent: ScaleOut) {
    match rents.iter_mut().find(|other| other.offer == rent.offer) {
        Some(other) => other.count += rent.count,
        None => rents.push(rent),
    }
}

/// Adds as many machines of the best offer as `tasks` tasks need; nothing without an offer.
pub(super) fn scale_out_for_tasks(rents: &mut Vec<ScaleOut>, tasks: u32, best: Option<&FittingOffer>) {
    if let (true, Some(best)) = (tasks > 0, best) {
        let count = tasks.div_ceil(best.fits.max(1));
        add_scale_out(rents, ScaleOut { offer: best.offer, count });
    }
}
