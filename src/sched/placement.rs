//! Which machines a class may use, and how soon its tasks would run there.

use super::{Class, Room};
use crate::time::Micros;

/// Whether the class may use the room at all.
pub(crate) fn allowed(c: &Class, r: &Room) -> bool {
    c.types.contains(&r.ty) && c.zone.is_none_or(|z| z == r.zone) && (c.spot || !r.spot)
}

/// Seconds that the class's image takes to fetch there.
pub(super) fn fetch_s(c: &Class, r: &Room) -> f64 {
    match c.image {
        Some(i) if !r.images.contains(&i) => c.image_gb / r.fetch_rate.max(0.001),
        _ => 0.0,
    }
}

/// Until a task of the class would run there.
pub(super) fn delay(c: &Class, r: &Room) -> Micros {
    r.opens_in + Micros::from_secs(fetch_s(c, r)) + r.penalty
}
