//! Which machines a class may use, and how soon its tasks would run there.

use super::snapshot::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// Lower bound of an image fetch rate in GB per second, so that a fetch takes finite time.
const LEAST_FETCH_RATE: f64 = 0.001;

/// Whether the class's constraints on machine type, zone and spot instances admit the machine.
pub(crate) fn may_use(class: &JobClass, machine: &MachineSnapshot) -> bool {
    class.machine_types.contains(&machine.machine_type)
        && class.zone.is_none_or(|zone| zone == machine.zone)
        && (class.spot || !machine.spot)
}

/// Whether the class does not start on the machine because it waits for one that has its image.
pub(super) fn lacks_awaited_image(class: &JobClass, machine: &MachineSnapshot) -> bool {
    class.waits_for_image && fetch_seconds(class, machine) > 0.0
}

/// Seconds that the machine takes to fetch the class's image; zero if the machine has it.
pub(super) fn fetch_seconds(class: &JobClass, machine: &MachineSnapshot) -> f64 {
    match class.image {
        Some(image) if !machine.images.contains(&image) => {
            class.image_gb / machine.fetch_gb_per_s.max(LEAST_FETCH_RATE)
        }
        _ => 0.0,
    }
}

/// Time until a task of the class that is started on the machine would run: the machine's next
/// heartbeat, the fetch of the image and the machine's penalty.
pub fn start_delay(class: &JobClass, machine: &MachineSnapshot) -> Micros {
    machine.accepts_starts_in + Micros::from_secs(fetch_seconds(class, machine)) + machine.failure_penalty
}

/// Time until a task of the class that is started on the machine ends, by its adjusted run time.
pub(super) fn adjusted_end(class: &JobClass, machine: &MachineSnapshot) -> Micros {
    start_delay(class, machine) + class.adjusted_runtime
}
