//! This node's rate budget for the state store: token buckets for requests and for changes, a
//! priority per call, and the rate limits that are announced to fall.

use std::collections::VecDeque;

use crate::time::{steady, Micros, Steady};

/// How much a call matters when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership (claim, lease renewal, reads after a take over): never waits for the budget.
    Leadership,
    /// Acceptance and cancellation: users wait for it.
    User,
    /// What starts and ends of jobs wait for.
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

/// A token bucket that holds a second's worth of its rate (at least one token).
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: Steady,
}

impl TokenBucket {
    /// A full bucket of `rate` tokens a second.
    pub fn new(rate: f64, now: Steady) -> TokenBucket {
        TokenBucket { rate, level: rate, at: now }
    }

    fn refill(&mut self, now: Steady) {
        self.level = (self.level + (now - self.at).secs() * self.rate).min(self.rate.max(1.0));
        self.at = now;
    }

    /// Takes `n` tokens, keeping `reserve` tokens back for calls of higher priority.
    ///
    /// # Errors
    /// How long to wait before there are enough (between 2 ms and 1 s); nothing is taken.
    pub fn take(&mut self, now: Steady, n: f64, reserve: f64) -> Result<(), Micros> {
        self.refill(now);
        // A request larger than the whole bucket passes when the bucket is full.
        let need = (n + reserve).min(self.rate.max(1.0));
        if self.level >= need {
            self.level -= n;
            return Ok(());
        }
        Err(Micros::from_secs(((need - self.level) / self.rate).clamp(0.002, 1.0)))
    }

    /// Takes `n` tokens whatever the level, which may go below zero.
    fn force(&mut self, now: Steady, n: f64) {
        self.refill(now);
        self.level -= n;
    }
}

/// How long all calls pause after a refusal for the rate (429).
const PAUSE_AFTER_RATE_REFUSAL: Micros = Micros::from_millis(60);

/// The rate budget of one client: requests and changes, by this node's share of the limits.
pub(super) struct RateBudget {
    requests: TokenBucket,
    writes: TokenBucket,
    pause_until: Steady,
    /// This node's share of the present limits: requests and changes a second.
    share: (f64, f64),
    next: NextRates,
}

impl RateBudget {
    /// A full budget of `share` (requests, changes) a second, with the limits to come `next`.
    pub(super) fn new(share: (f64, f64), next: NextRates, now: Steady) -> RateBudget {
        RateBudget {
            requests: TokenBucket::new(share.0, now),
            writes: TokenBucket::new(share.1, now),
            pause_until: Steady(0),
            share,
            next,
        }
    }

    /// Changes this node's share of the limits.
    pub(super) fn set_share(&mut self, share: (f64, f64)) {
        self.share = share;
        self.set_rates();
    }

    /// Sets the rates by the share and, once they show, by the coming limits.
    fn set_rates(&mut self) {
        let (requests, writes) = self.next.in_force();
        self.requests.rate = self.share.0 * requests;
        self.writes.rate = self.share.1 * writes;
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
        let reserved_writes = self.writes.rate * reserve;
        let reserved_requests = self.requests.rate * reserve;
        // A call without changes never waits for the write bucket.
        self.writes.take(now, writes as f64, if writes > 0 { reserved_writes } else { -1e9 })?;
        let taken = self.requests.take(now, 1.0, reserved_requests);
        if taken.is_err() {
            // Nothing is taken when the request bucket is short.
            self.writes.level += writes as f64;
        }
        taken
    }

    /// A refusal for the rate (429): pauses all calls briefly and empties the request bucket;
    /// once such refusals show that the coming limits hold, the rates follow them. The log
    /// line's message is the one that the operations guide names.
    pub(super) fn rate_refused(&mut self) {
        self.pause_until = steady() + PAUSE_AFTER_RATE_REFUSAL;
        self.requests.level = self.requests.level.min(0.0);
        if self.next.refused(steady()) {
            tracing::info!(
                requests_share = self.next.shares.0,
                writes_share = self.next.shares.1,
                "the state service has its new limits"
            );
            self.set_rates();
        }
    }

    /// A write was rejected as too large: the coming limits hold.
    pub(super) fn write_rejected(&mut self) {
        self.next.rejected();
        self.set_rates();
    }
}

/// Rate refusals within this time are counted together.
const REFUSALS_WITHIN: Micros = Micros::from_millis(10_000);
/// So many of them show that the coming limits hold: bursts of several nodes at once have one now
/// and then under any limits.
const REFUSALS_SHOW: usize = 5;

/// Rate limits that will hold from some moment on, without notice. The present ones are kept to
/// until refusals for the rate (429) or of a write that is too large (400) show the change; an
/// outage or a store that refuses this node alone answers 503 and shows nothing.
#[derive(Clone, Debug)]
pub struct NextRates {
    shares: (f64, f64),
    /// The latest refusals for the rate, no more than show the change.
    refusals: VecDeque<Steady>,
    shown: bool,
}

impl NextRates {
    /// The coming limits as shares of the present ones: (requests, changes).
    pub fn new(shares: (f64, f64)) -> NextRates {
        NextRates { shares, refusals: VecDeque::new(), shown: false }
    }

    /// Counts a refusal for the rate; whether it shows the change (true once at most).
    pub fn refused(&mut self, now: Steady) -> bool {
        self.refusals.push_back(now);
        while self.refusals.len() > REFUSALS_SHOW {
            self.refusals.pop_front();
        }
        let oldest = self.refusals.front().copied().unwrap_or(now);
        let many = self.refusals.len() == REFUSALS_SHOW && now - oldest <= REFUSALS_WITHIN;
        let shows = many && !self.shown && self.shares != (1.0, 1.0);
        self.shown |= shows;
        shows
    }

    /// A write was rejected as too large: the coming limits hold.
    pub fn rejected(&mut self) {
        self.shown = true;
    }

    /// The shares of the present limits that are kept to: (requests, changes).
    pub fn in_force(&self) -> (f64, f64) {
        if self.shown {
            self.shares
        } else {
            (1.0, 1.0)
        }
    }
}
