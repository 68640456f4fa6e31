//! Which machines a class may use, and how soon its tasks would run there.

use super::snapshot::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// Lower bound of an image fetch rate in GB per second, so that a fetch takes finite time.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// Whether the class's limits on machine types, zone and spot instances allow the machine.
pub(crate) fn may_use(class: &JobClass, machine: &MachineSnapshot) -> bool {
    class.machine_types.contains(&machine.machine_type)
        && class.zone.is_none_or(|zone| zone == machine.zone)
        && (class.spot || !machine.spot)
}

/// Whether the class waits for a machine that has its image, and this machine does not have it.
pub(super) fn lacks_awaited_image(class: &JobClass, machine: &MachineSnapshot) -> bool {
    class.waits_for_image && fetch_seconds(class, machine) > 0.0
}

/// Seconds that the machine needs to fetch the class's image; zero if it has the image.
pub(super) fn fetch_seconds(class: &JobClass, machine: &MachineSnapshot) -> f64 {
    match class.image {
        Some(image) if !machine.images.contains(&image) => {
            class.image_gb / machine.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        }
        _ => 0.0,
    }
}

/// Time until a task of the class would run if it were started on the machine: the time to the next
/// heartbeat, the time to fetch the image, and the machine's failure penalty.
pub fn start_delay(class: &JobClass, machine: &MachineSnapshot) -> Micros {
    machine.accepts_starts_in + Micros::from_secs(fetch_seconds(class, machine)) + machine.failure_penalty
}

/// Time until a task of the class would end if it were started on the machine, by its adjusted run time.
pub(super) fn adjusted_end(class: &JobClass, machine: &MachineSnapshot) -> Micros {
    start_delay(class, machine) + class.adjusted_runtime
}
