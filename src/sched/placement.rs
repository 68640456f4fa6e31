//! Which machines a class may use, and how soon its tasks would run there.

use super::{JobClass, MachineSnapshot};
use crate::time::Micros;

/// Whether the class may use the room at all.
pub(crate) fn allowed(class: &JobClass, room: &MachineSnapshot) -> bool {
    class.types.contains(&room.machine_type)
        && class.zone.is_none_or(|z| z == room.zone)
        && (class.spot || !room.spot)
}

/// Whether the class passes the room over for one that has its image.
pub(super) fn lacks_awaited_image(class: &JobClass, room: &MachineSnapshot) -> bool {
    class.waits_for_image && fetch_seconds(class, room) > 0.0
}

/// Seconds that the class's image takes to fetch there.
pub(super) fn fetch_seconds(class: &JobClass, room: &MachineSnapshot) -> f64 {
    match class.image {
        Some(i) if !room.images.contains(&i) => class.image_gb / room.fetch_rate.max(0.001),
        _ => 0.0,
    }
}

/// Until a task of the class would run there.
pub(super) fn delay(class: &JobClass, room: &MachineSnapshot) -> Micros {
    room.accepts_starts_in + Micros::from_secs(fetch_seconds(class, room)) + room.penalty
}
