//! The controller: accepts jobs, elects one leader among the controllers, scales the cloud's
//! machines out and in, and sends commands to workers.
//!
//! Each long-lived duty runs on a standard thread of its own, in a module of its own (`duties` starts
//! them). All threads share one lock (`Controller::lock`), which is never held during I/O: a duty copies
//! what it needs, releases the lock, does its I/O with a deadline, and takes the lock again to record the
//! outcome, checking that it still leads with the same fencing token.

mod announce;
mod borrowing;
mod cells_status;
mod commands;
mod deferred_replies;
mod duties;
mod error;
mod failover;
mod final_records;
mod heard_results;
mod heartbeats;
mod latency;
mod leader_lease;
mod lending;
mod loan_writes;
mod machine_list;
mod machine_types;
mod other_cells;
mod peers;
mod planning;
mod progress_keeper;
mod responses;
mod routing;
mod scaling;
mod shared_state;
mod shutdown;
mod state_budget;
mod status;
mod step_down;
mod users;
mod versions;
mod watch;
mod writer;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use rand::Rng;

pub use self::error::ControllerError;
use self::latency::Latencies;
pub use self::lending::LendingPolicy;
pub use self::progress_keeper::ProgressKeeper;
pub use self::scaling::ScalingState;
use self::shared_state::{Leadership, SharedState};
use self::state_budget::{allowed_rates, ControllerRole};
pub use self::status::STATUS_PATH;
pub use self::writer::done_write_interval;
use crate::cancellation_notices::CancellationNotices;
use crate::cloud::CloudClient;
use crate::config::Config;
use crate::live_jobs::LiveJobs;
use crate::peer::PeerHub;
use crate::state::{AllowedRates, StateStoreClient};
use crate::time::{Clock, Micros, Steady};

/// Shortest interval between the starts of two reads of the live jobs.
const MIN_LIVE_READ_INTERVAL: Micros = Micros::from_millis(20);
/// Longest interval between the starts of two reads of the live jobs that the rate limit may impose.
const MAX_LIVE_READ_INTERVAL: Micros = Micros::from_millis(250);
/// At most one in this many of the requests that the state store allows is a read of the live jobs.
const REQUESTS_PER_LIVE_READ: f64 = 2.0;
/// Lower bound on the rate, in requests per second, from which the interval between these reads is computed.
const MIN_REQUEST_RATE: f64 = 0.1;
/// The share of the cloud's rate limit that a controller uses.
const CLOUD_REQUEST_SHARE: f64 = 0.8;
/// Largest random number that identifies a run of the process; JSON numbers represent it exactly.
const MAX_INCARNATION: u64 = u64::MAX >> 12;

/// This program's version, reported to the other controllers.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The version that is recorded for a controller that reports none.
const UNREPORTED_VERSION: &str = "before 0.2";

/// A controller process: its settings, its clients and the state that its duties share.
pub struct Controller {
    config: Arc<Config>,
    /// The client of the state store.
    state: StateStoreClient,
    /// The ids of the live jobs, for status requests.
    live: LiveJobs,
    cloud: CloudClient,
    /// Connections to the other controllers.
    peers: PeerHub,
    /// See [`Controller::lock`].
    shared: Mutex<SharedState>,
    /// Notified when records are to be written, and when the leadership changes.
    wake: Condvar,
    /// Cancellations that other controllers have not acknowledged yet.
    notices: Mutex<CancellationNotices>,
    /// Notified when a cancellation was added to `notices`.
    notices_added: Condvar,
    /// Locked while a message of another cell changes the borrowed tasks, so that only one does at a time.
    loan_changes: Mutex<()>,
    latencies: Mutex<Latencies>,
    /// Set when the controller is to stop.
    stop: Arc<AtomicBool>,
    clock: Clock,
    /// Random number that identifies this run of the process.
    incarnation: u64,
    /// When this run began.
    started: Steady,
}

impl Controller {
    /// Creates a controller without starting its duties: each `*_once` method performs one round of a duty.
    ///
    /// # Errors
    /// [`ControllerError::Histogram`].
    pub fn new(
        config: Config,
        peers: PeerHub,
        clock: Clock,
        stop: Arc<AtomicBool>,
    ) -> Result<Arc<Controller>, ControllerError> {
        let allowed = allowed_rates(&config, ControllerRole::Follower);
        let platform = &config.platform;
        let notice_retention = Micros::from_secs(platform.settings.workers.cancel_s);
        let now = clock.now();
        Ok(Arc::new(Controller {
            state: StateStoreClient::new(
                platform.services.state,
                allowed,
                platform.settings.state.next_rates(),
            ),
            live: LiveJobs::new(live_read_interval(allowed)),
            cloud: CloudClient::new(
                platform.services.cloud,
                platform.settings.cloud.rps * CLOUD_REQUEST_SHARE,
            ),
            notices: Mutex::new(CancellationNotices::new(peers.count(), notice_retention)),
            notices_added: Condvar::new(),
            loan_changes: Mutex::new(()),
            peers,
            shared: Mutex::new(SharedState { last_peer_contact: now, ..SharedState::default() }),
            wake: Condvar::new(),
            latencies: Mutex::new(Latencies::new(now)?),
            stop,
            incarnation: rand::rng().random_range(1..=MAX_INCARNATION),
            started: now,
            clock,
            config: Arc::new(config),
        }))
    }

    /// The current time by this controller's clock.
    pub fn now(&self) -> Steady {
        self.clock.now()
    }

    /// Locks the shared state.
    fn lock(&self) -> MutexGuard<'_, SharedState> {
        lock_ignoring_poison(&self.shared)
    }

    /// Whether the controller is to stop.
    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sleeps, unless the controller is to stop.
    fn sleep(&self, pause: Micros) {
        if !self.stopping() {
            std::thread::sleep(pause.to_duration());
        }
    }

    /// The index in [`PeerHub`] of another controller of this cell, given its label.
    fn peer_index(&self, label: &str) -> Option<usize> {
        self.config.platform.members.iter().position(|member| member.label == label)
    }
}

/// Locks a mutex even if a thread panicked while it held the lock: a panic in one duty must not stop the
/// other duties.
fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Shortest interval between the starts of two reads of the live jobs under the allowed request rate.
fn live_read_interval(allowed: AllowedRates) -> Micros {
    Micros::from_secs(REQUESTS_PER_LIVE_READ / allowed.requests_per_s.max(MIN_REQUEST_RATE))
        .clamp(MIN_LIVE_READ_INTERVAL, MAX_LIVE_READ_INTERVAL)
}
