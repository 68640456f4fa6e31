//! Simulated time, in seconds since the beginning of a test.

use milletlock::time::{Micros, Steady, Wall};

/// The beginning of a test; late enough for moments before it.
pub const START: Steady = Steady(1_000_000_000);

/// So many seconds after the beginning, on the steady clock.
pub fn at(seconds: f64) -> Steady {
    START + Micros::from_secs(seconds)
}

/// So many seconds after the beginning, by the time of day.
pub fn wall(seconds: f64) -> Wall {
    wall_at(at(seconds))
}

/// The time of day at a moment of the steady clock: the two run alike in the simulations.
pub fn wall_at(now: Steady) -> Wall {
    Wall(now.0)
}
