//! The rate budget of this controller for calls to the state store: token buckets for requests and for
//! changes, a priority for each call, and the lower rate limits that are announced to come into force later.

use std::collections::VecDeque;

use crate::time::{steady, Micros, Steady};

/// Priority of a call to the state store when the rate budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Calls for leadership (election, lease renewal, reads after a failover). They never wait for the
    /// budget.
    Leadership,
    /// Acceptance, cancellation and status of jobs, for which a user waits.
    User,
    /// Writes of the leader for which the start or the end of a job waits.
    Leader,
    /// All other calls.
    Background,
}

impl RequestPriority {
    /// Tokens that a call of this priority leaves in a bucket for calls of higher priority, as a fraction of
    /// the bucket's rate; `None` for leadership calls, which never wait.
    fn reserve(self) -> Option<f64> {
        match self {
            RequestPriority::Leadership => None,
            RequestPriority::User => Some(0.0),
            RequestPriority::Leader => Some(0.1),
            RequestPriority::Background => Some(0.35),
        }
    }
}

/// Minimum capacity of a bucket in tokens, however low its rate is.
const MIN_CAPACITY: f64 = 1.0;
/// Minimum wait, in seconds, that is returned if a bucket has too few tokens.
const MIN_WAIT_S: f64 = 0.002;
/// Maximum wait, in seconds, that is returned if a bucket has too few tokens.
const MAX_WAIT_S: f64 = 1.0;

/// A token bucket whose capacity is the tokens of one second (at least one token).
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Tokens in the bucket at `refilled_at`; below zero after calls that did not wait for tokens.
    level: f64,
    refilled_at: Steady,
}

impl TokenBucket {
    /// Creates a full bucket of `rate` tokens per second.
    pub fn new(rate: f64, now: Steady) -> TokenBucket {
        TokenBucket { rate, level: rate, refilled_at: now }
    }

    fn capacity(&self) -> f64 {
        self.rate.max(MIN_CAPACITY)
    }

    fn refill(&mut self, now: Steady) {
        let added = (now - self.refilled_at).secs() * self.rate;
        self.level = (self.level + added).min(self.capacity());
        self.refilled_at = now;
    }

    /// Takes `tokens` tokens if at least `reserve` tokens remain for calls of higher priority. A request for
    /// more than the capacity needs a full bucket.
    ///
    /// # Errors
    /// If there are too few tokens, none is taken. The error is the time until there are enough, limited to
    /// between 2 ms and 1 s.
    pub fn take(&mut self, now: Steady, tokens: f64, reserve: f64) -> Result<(), Micros> {
        self.refill(now);
        // A request for more tokens than the capacity is admitted when the bucket is full.
        let needed = (tokens + reserve).min(self.capacity());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let wait_s = (needed - self.level) / self.rate;
        Err(Micros::from_secs(wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }

    /// Takes `tokens` tokens at any level, which may fall below zero.
    fn take_unconditionally(&mut self, now: Steady, tokens: f64) {
        self.refill(now);
        self.level -= tokens;
    }
}

/// A reserve with which [`TokenBucket::take`] succeeds at any level.
const IGNORE_LEVEL: f64 = -1e9;

/// How long all calls but leadership calls pause after the state store has refused a request because of its
/// rate limits (status 429).
const PAUSE_AFTER_RATE_REFUSAL: Micros = Micros::from_millis(60);

/// Rates that one controller may use: its share of the state store's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowedRates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Changes (puts and deletes) per second.
    pub writes_per_s: f64,
}

/// The rate budget of one client for requests and for changes.
pub(super) struct RateBudget {
    requests: TokenBucket,
    writes: TokenBucket,
    pause_until: Steady,
    /// This controller's share of the present limits.
    allowed: AllowedRates,
    next: NextRates,
}

impl RateBudget {
    /// Creates a budget with full buckets; `next` are the announced lower limits.
    pub(super) fn new(allowed: AllowedRates, next: NextRates, now: Steady) -> RateBudget {
        RateBudget {
            requests: TokenBucket::new(allowed.requests_per_s, now),
            writes: TokenBucket::new(allowed.writes_per_s, now),
            pause_until: Steady(0),
            allowed,
            next,
        }
    }

    /// Sets this controller's share of the present limits.
    pub(super) fn set_allowed_rates(&mut self, allowed: AllowedRates) {
        self.allowed = allowed;
        self.update_rates();
    }

    /// Sets the buckets' rates to this controller's share of the present limits or, once they are in force,
    /// of the next limits.
    fn update_rates(&mut self) {
        let shares = self.next.in_force();
        self.requests.rate = self.allowed.requests_per_s * shares.requests;
        self.writes.rate = self.allowed.writes_per_s * shares.writes;
    }

    /// Takes the tokens for one request with `writes` changes at `priority`.
    ///
    /// # Errors
    /// If there are too few tokens or all calls are paused, none is taken. The error is the time to wait
    /// before the next try.
    pub(super) fn try_take(
        &mut self,
        now: Steady,
        writes: usize,
        priority: RequestPriority,
    ) -> Result<(), Micros> {
        let Some(reserve) = priority.reserve() else {
            self.requests.take_unconditionally(now, 1.0);
            self.writes.take_unconditionally(now, writes as f64);
            return Ok(());
        };
        if now < self.pause_until {
            return Err(self.pause_until - now);
        }
        // A call without changes never waits for the write bucket.
        let reserved_writes = if writes > 0 { self.writes.rate * reserve } else { IGNORE_LEVEL };
        let reserved_requests = self.requests.rate * reserve;
        self.writes.take(now, writes as f64, reserved_writes)?;
        let taken = self.requests.take(now, 1.0, reserved_requests);
        if taken.is_err() {
            // The request bucket has too few tokens: the tokens for changes are put back.
            self.writes.level += writes as f64;
        }
        taken
    }

    /// Records that the state store has refused a request because of its rate limits (status 429). All calls
    /// but leadership calls are paused briefly, and the request bucket is emptied. If the refusals show that
    /// the next limits are in force, the rates are reduced to them. docs/operations.md quotes the log
    /// message.
    pub(super) fn record_rate_refusal(&mut self) {
        self.pause_until = steady() + PAUSE_AFTER_RATE_REFUSAL;
        self.requests.level = self.requests.level.min(0.0);
        if self.next.record_refusal(steady()) {
            tracing::info!(
                requests_share = self.next.shares.requests,
                writes_share = self.next.shares.writes,
                "next limits of the state store in force"
            );
            self.update_rates();
        }
    }

    /// Applies the next limits, after the state store has rejected a write as too large.
    pub(super) fn apply_next_rates(&mut self) {
        self.next.mark_in_force();
        self.update_rates();
    }
}

/// Window within which rate refusals are counted together.
const REFUSAL_WINDOW: Micros = Micros::from_millis(10_000);
/// Number of rate refusals within [`REFUSAL_WINDOW`] which show that the next limits are in force. Fewer
/// refusals do not show that: simultaneous bursts of several controllers are occasionally refused under any
/// limits.
const DECISIVE_REFUSALS: usize = 5;

/// Fractions of rate limits; 1 is the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShares {
    /// Fraction of the limit of requests.
    pub requests: f64,
    /// Fraction of the limit of changes (puts and deletes).
    pub writes: f64,
}

impl RateShares {
    /// The whole of both limits.
    pub const FULL: RateShares = RateShares { requests: 1.0, writes: 1.0 };
}

/// The state store's announced lower limits, which come into force at an unknown moment. This controller
/// uses the present limits until the state store refuses requests because of its rate limits (status 429)
/// or rejects a write as too large (status 400). Status 503 does not show that the limits have changed: it is
/// also answered in an outage, and by a state store that refuses this controller alone.
#[derive(Clone, Debug)]
pub struct NextRates {
    /// The next limits as fractions of the present ones.
    shares: RateShares,
    /// Times of the latest rate refusals, at most [`DECISIVE_REFUSALS`].
    refusals: VecDeque<Steady>,
    in_force: bool,
}

impl NextRates {
    /// Creates next limits that are not yet in force. `shares` are fractions of the present limits, each at
    /// most 1.
    pub fn new(shares: RateShares) -> NextRates {
        NextRates { shares, refusals: VecDeque::new(), in_force: false }
    }

    /// Records a rate refusal. Returns whether this refusal shows that the next limits are in force. It
    /// returns true at most once, and never if the next limits equal the present ones.
    pub fn record_refusal(&mut self, now: Steady) -> bool {
        self.refusals.push_back(now);
        while self.refusals.len() > DECISIVE_REFUSALS {
            self.refusals.pop_front();
        }
        let oldest = self.refusals.front().copied().unwrap_or(now);
        let decisive = self.refusals.len() == DECISIVE_REFUSALS && now - oldest <= REFUSAL_WINDOW;
        let comes_into_force = decisive && !self.in_force && self.shares != RateShares::FULL;
        self.in_force |= comes_into_force;
        comes_into_force
    }

    /// Marks the next limits as in force, after the state store has rejected a write as too large.
    pub fn mark_in_force(&mut self) {
        self.in_force = true;
    }

    /// The fractions of the present limits that this controller may use now.
    pub fn in_force(&self) -> RateShares {
        if self.in_force {
            self.shares
        } else {
            RateShares::FULL
        }
    }
}
