//! Time in whole microseconds. Time spans, times on the steady clock and wall-clock times are three different
//! types, so that a lease cannot be measured on the wrong clock by mistake.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Limit of the spans that are converted from seconds, in seconds.
const MAX_SECONDS: f64 = 1e12;

/// A time span in microseconds; it may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

/// A time on this process's steady (monotonic) clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Steady(pub i64);

/// A wall-clock time, in microseconds since 1970 (UTC).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wall(pub i64);

impl Micros {
    /// The empty span.
    pub const ZERO: Micros = Micros(0);

    /// Converts seconds to a span, clamped to ±1e12 seconds; values that are not finite become zero.
    pub fn from_secs(seconds: f64) -> Micros {
        if seconds.is_finite() {
            Micros((seconds.clamp(-MAX_SECONDS, MAX_SECONDS) * MICROS_PER_SECOND) as i64)
        } else {
            Micros::ZERO
        }
    }

    /// Converts whole milliseconds to a span.
    pub const fn from_millis(milliseconds: i64) -> Micros {
        Micros(milliseconds * 1000)
    }

    /// The span in whole milliseconds, rounded towards zero.
    pub const fn millis(self) -> i64 {
        self.0 / 1000
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Converts the span to a standard library duration; negative spans become zero.
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0.max(0) as u64)
    }

    /// The span multiplied by `factor`, rounded towards zero.
    pub fn scale(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as i64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// Implements `moment + span`, `moment - span` and `moment - moment` for the time type of a clock.
macro_rules! moment_arithmetic {
    ($moment:ty) => {
        impl Add<Micros> for $moment {
            type Output = $moment;
            fn add(self, span: Micros) -> $moment {
                Self(self.0.saturating_add(span.0))
            }
        }
        impl Sub<Micros> for $moment {
            type Output = $moment;
            fn sub(self, span: Micros) -> $moment {
                Self(self.0.saturating_sub(span.0))
            }
        }
        impl Sub for $moment {
            type Output = Micros;
            fn sub(self, earlier: $moment) -> Micros {
                Micros(self.0.saturating_sub(earlier.0))
            }
        }
    };
}
moment_arithmetic!(Steady);
moment_arithmetic!(Wall);

/// The steady clock's time when a process first reads it. It is not zero, so that zero can stand for "long
/// ago" in comparisons.
const PROCESS_START: Steady = Steady(1_000_000_000);

/// Reads the steady clock.
pub fn steady() -> Steady {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    let origin = *ORIGIN.get_or_init(Instant::now);
    Steady(origin.elapsed().as_micros() as i64 + PROCESS_START.0)
}

/// Reads the wall clock; zero if it is set to a time before 1970.
pub fn wall() -> Wall {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Wall(since_epoch.map(|span| span.as_micros() as i64).unwrap_or(0))
}

/// The steady clock that a controller reads: the operating system's, or one that a test sets.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The operating system's steady clock.
    #[default]
    System,
    /// A clock that only advances when a test sets it, in microseconds.
    Manual(Arc<AtomicI64>),
}

impl Clock {
    /// Reads the present time.
    pub fn now(&self) -> Steady {
        match self {
            Clock::System => steady(),
            Clock::Manual(micros) => Steady(micros.load(Ordering::SeqCst)),
        }
    }
}
