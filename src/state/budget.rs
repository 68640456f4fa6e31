//! This controller's rate budget for the state store: token buckets for requests and for changes, a
//! priority per call, and the lower rate limits that are announced to come into force later.

use std::collections::VecDeque;

use crate::time::{steady, Micros, Steady};

/// How much a call matters when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership (election, lease renewal, reads after a failover): never waits for the budget.
    Leadership,
    /// Acceptance, cancellation and status of jobs: a user waits for the answer.
    User,
    /// Writes of the leader that the start or the end of a job waits for.
    Leader,
    /// Everything else.
    Background,
}

impl RequestPriority {
    /// The share of each bucket's rate kept back for calls of higher priority; `None` for
    /// leadership calls, which never wait.
    fn reserve(self) -> Option<f64> {
        match self {
            RequestPriority::Leadership => None,
            RequestPriority::User => Some(0.0),
            RequestPriority::Leader => Some(0.1),
            RequestPriority::Background => Some(0.35),
        }
    }
}

/// Tokens that a bucket holds at least when it is full, however low its rate.
const MIN_CAPACITY: f64 = 1.0;
/// Shortest and longest wait, in seconds, that a short bucket asks for.
const MIN_WAIT_S: f64 = 0.002;
const MAX_WAIT_S: f64 = 1.0;

/// A token bucket that holds a second's worth of its rate (at least one token).
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens in the bucket at `refilled_at`; below zero after forced calls.
    level: f64,
    refilled_at: Steady,
}

impl TokenBucket {
    /// A full bucket of `rate` tokens a second.
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

    /// Takes `tokens` tokens, keeping `reserve` tokens back for calls of higher priority.
    ///
    /// # Errors
    /// How long to wait before there are enough (between 2 ms and 1 s); nothing is taken.
    pub fn take(&mut self, now: Steady, tokens: f64, reserve: f64) -> Result<(), Micros> {
        self.refill(now);
        // A request larger than the whole bucket passes when the bucket is full.
        let needed = (tokens + reserve).min(self.capacity());
        if self.level >= needed {
            self.level -= tokens;
            return Ok(());
        }
        let wait_s = (needed - self.level) / self.rate;
        Err(Micros::from_secs(wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }

    /// Takes `tokens` tokens whatever the level, which may go below zero.
    fn force(&mut self, now: Steady, tokens: f64) {
        self.refill(now);
        self.level -= tokens;
    }
}

/// Stands for no reserve at all: with it [`TokenBucket::take`] passes whatever the level.
const IGNORE_LEVEL: f64 = -1e9;

/// How long all calls pause after a refusal for the rate (429).
const PAUSE_AFTER_RATE_REFUSAL: Micros = Micros::from_millis(60);

/// Rates that one controller may use: its share of the state store's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowedRates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Changes (puts and deletes) a second.
    pub writes_per_s: f64,
}

/// The rate budget of one client: requests and changes, by this controller's share of the limits.
pub(super) struct RateBudget {
    requests: TokenBucket,
    writes: TokenBucket,
    pause_until: Steady,
    /// This controller's share of the present limits.
    allowed: AllowedRates,
    next: NextRates,
}

impl RateBudget {
    /// A full budget; `next` are the limits to come.
    pub(super) fn new(allowed: AllowedRates, next: NextRates, now: Steady) -> RateBudget {
        RateBudget {
            requests: TokenBucket::new(allowed.requests_per_s, now),
            writes: TokenBucket::new(allowed.writes_per_s, now),
            pause_until: Steady(0),
            allowed,
            next,
        }
    }

    /// Changes this controller's share of the limits.
    pub(super) fn set_allowed(&mut self, allowed: AllowedRates) {
        self.allowed = allowed;
        self.set_rates();
    }

    /// Sets the rates by this controller's share and, once they are in force, by the next limits.
    fn set_rates(&mut self) {
        let shares = self.next.in_force();
        self.requests.rate = self.allowed.requests_per_s * shares.requests;
        self.writes.rate = self.allowed.writes_per_s * shares.writes;
    }

    /// Takes one request and `writes` changes at `priority`.
    ///
    /// # Errors
    /// How long to wait before trying again; nothing is taken.
    pub(super) fn try_take(
        &mut self,
        now: Steady,
        writes: usize,
        priority: RequestPriority,
    ) -> Result<(), Micros> {
        let Some(reserve) = priority.reserve() else {
            self.requests.force(now, 1.0);
            self.writes.force(now, writes as f64);
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
            // Nothing is taken when the request bucket is short.
            self.writes.level += writes as f64;
        }
        taken
    }

    /// A refusal for the rate (429): pauses all calls briefly and empties the request bucket;
    /// once such refusals show that the next limits are in force, the rates follow them. The
    /// log line's message is the one that docs/operations.md quotes.
    pub(super) fn rate_refused(&mut self) {
        self.pause_until = steady() + PAUSE_AFTER_RATE_REFUSAL;
        self.requests.level = self.requests.level.min(0.0);
        if self.next.record_refusal(steady()) {
            tracing::info!(
                requests_share = self.next.shares.requests,
                writes_share = self.next.shares.writes,
                "next limits of the state store in force"
            );
            self.set_rates();
        }
    }

    /// A write was rejected as too large: the next limits are in force.
    pub(super) fn write_rejected(&mut self) {
        self.next.mark_in_force();
        self.set_rates();
    }
}

/// Rate refusals within this time are counted together.
const REFUSAL_WINDOW: Micros = Micros::from_millis(10_000);
/// So many of them show that the next limits are in force. Fewer do not: simultaneous bursts of
/// several controllers are refused now and then under any limits.
const DECISIVE_REFUSALS: usize = 5;

/// Parts of rate limits, as fractions: 1 is the whole limit.
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

/// Rate limits that come into force at some moment, without notice. The present ones are kept to
/// until refusals for the rate (429) or of a write that is too large (400) show the change. An
/// outage, or a store that refuses this controller alone, answers 503 and shows nothing.
#[derive(Clone, Debug)]
pub struct NextRates {
    /// The next limits as fractions of the present ones.
    shares: RateShares,
    /// The latest refusals for the rate, at most [`DECISIVE_REFUSALS`].
    refusals: VecDeque<Steady>,
    in_force: bool,
}

impl NextRates {
    /// The next limits as fractions of the present ones, each at most 1.
    pub fn new(shares: RateShares) -> NextRates {
        NextRates { shares, refusals: VecDeque::new(), in_force: false }
    }

    /// Counts a refusal for the rate. Returns whether this one shows that the next limits are in
    /// force, which is true at most once, and never if they do not differ from the present ones.
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

    /// A write was rejected as too large: the next limits are in force.
    pub fn mark_in_force(&mut self) {
        self.in_force = true;
    }

    /// The fractions of the present limits to keep to now.
    pub fn in_force(&self) -> RateShares {
        if self.in_force {
            self.shares
        } else {
            RateShares::FULL
        }
    }
}
