//! Scale out for services: whole machines for replicas that found no place.

use super::offers::scale_out_for_tasks;
use super::{CapacityView, ScaleOut};
use crate::sched::{may_use, Resources};

impl CapacityView<'_> {
    /// Scales out for replicas that found no place: whole machines, on-demand ones if they are offered,
    /// since a replica outlives most spot machines.
    pub(super) fn scale_out_for_services(&self, rents: &mut Vec<ScaleOut>) {
        let rooms = &self.snapshot.machines;
        let booting = |index: usize| self.upkeep[index].booting && self.coming(index);
        let mut coming: Vec<Resources> = rooms
            .iter()
            .enumerate()
            .map(|(index, room)| if booting(index) { room.free } else { Resources::default() })
            .collect();
        for &(class_index, left) in &self.plan.unmet {
            let class = &self.snapshot.classes[class_index];
            if class.replica_machines.is_none() {
                continue;
            }
            let mut missing = left;
            for (index, _) in rooms.iter().enumerate().filter(|(_, room)| may_use(class, room)) {
                let taken = coming[index].fits(&class.need).min(missing);
                coming[index] = coming[index].minus(&class.need, taken);
                missing -= taken;
            }
            let offers = self.offers(class);
            let lasting = offers.iter().find(|fitting| !fitting.offer.spot).or(offers.first());
            scale_out_for_tasks(rents, missing, lasting);
        }
    }
}
