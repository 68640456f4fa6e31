//! Time as whole microseconds. Spans, the steady clock and the time of day are three different
//! types, so that a lease can never be counted on the wrong clock by mistake.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

/// A moment on this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Steady(pub i64);

/// A moment by the time of day, in microseconds since 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wall(pub i64);

impl Micros {
    /// The empty span.
    pub const ZERO: Micros = Micros(0);

    /// A span from seconds; values that are not finite count as zero.
    pub fn from_secs(s: f64) -> Micros {
        if s.is_finite() {
            Micros((s.clamp(-1e12, 1e12) * 1e6) as i64)
        } else {
            Micros::ZERO
        }
    }

    /// A span from whole milliseconds.
    pub const fn from_millis(ms: i64) -> Micros {
        Micros(ms * 1000)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span for the standard library; negative spans are empty.
    pub fn std(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }

    /// The span times a factor.
    pub fn scale(self, by: f64) -> Micros {
        Micros((self.0 as f64 * by) as i64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}

macro_rules! moment {
    ($t:ty) => {
        impl Add<Micros> for $t {
            type Output = $t;
            fn add(self, o: Micros) -> $t {
                Self(self.0.saturating_add(o.0))
            }
        }
        impl Sub<Micros> for $t {
            type Output = $t;
            fn sub(self, o: Micros) -> $t {
                Self(self.0.saturating_sub(o.0))
            }
        }
        impl Sub for $t {
            type Output = Micros;
            fn sub(self, o: $t) -> Micros {
                Micros(self.0.saturating_sub(o.0))
            }
        }
    };
}
moment!(Steady);
moment!(Wall);

/// Reads the steady clock.
pub fn steady() -> Steady {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    let origin = *ORIGIN.get_or_init(Instant::now);
    // A process never sees moment zero, so that zero can stand for "long ago" in comparisons.
    Steady(origin.elapsed().as_micros() as i64 + 1_000_000_000)
}

/// Reads the time of day.
pub fn wall() -> Wall {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Wall(since.map(|d| d.as_micros() as i64).unwrap_or(0))
}

/// Where a node reads the steady clock: the machine's, or one that a test sets.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The machine's.
    #[default]
    Machine,
    /// Stands still until it is set, in microseconds.
    Manual(Arc<AtomicI64>),
}

impl Clock {
    /// The present moment.
    pub fn now(&self) -> Steady {
        match self {
            Clock::Machine => steady(),
            Clock::Manual(at) => Steady(at.load(Ordering::SeqCst)),
        }
    }
}
