//! Simulated time, in seconds since the start of a test.

use milletlock::time::{Micros, Steady, Wall};

/// The start of a test. It is not zero, so that a test can also use times before its start.
pub const START: Steady = Steady(1_000_000_000);

/// Returns the time of the steady clock this many seconds after [`START`].
pub fn at(seconds: f64) -> Steady {
    START + Micros::from_secs(seconds)
}

/// Returns the wall-clock time this many seconds after [`START`].
pub fn wall(seconds: f64) -> Wall {
    wall_at(at(seconds))
}

/// Returns the wall-clock time at a time of the steady clock. Both clocks have the same value in simulations.
pub fn wall_at(now: Steady) -> Wall {
    Wall(now.0)
}
