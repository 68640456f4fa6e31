//! The faults that a simulation injects, and combinations of faults on which several tests are based.

/// The faults of a simulation. A share is the probability that a fault affects a message, if its description
/// names nothing else. A rate is the probability that something happens in a step.
#[derive(Clone)]
pub struct Faults {
    /// Number of steps in which faults occur.
    pub steps: u32,
    /// Number of jobs that are submitted.
    pub jobs: u32,
    /// Longest time in seconds from the confirmation of a cancellation until the job's tasks have ended. If
    /// it is more than twice the lease, a leader without the state store replies to its workers for longer
    /// than a lease lasts.
    pub cancel_s: f64,
    /// Longest time in seconds for which a long task runs.
    pub longest_task_s: f64,
    /// Rate of failovers.
    pub failover: f64,
    /// Interval in seconds at which failovers occur, in addition to the random ones.
    pub failover_every_s: Option<f64>,
    /// Whether a zone and a leader are partitioned together at times.
    pub partition: bool,
    /// Share of transactions without a reply. They are executed at once or late.
    pub lost_replies: f64,
    /// Share of transactions without a reply that are executed 2 to 12 s late. Such transactions occur in
    /// alternate periods of 30 s.
    pub late_writes: f64,
    /// Share of heartbeats of which a copy arrives as well, up to three leases later.
    pub duplicate_heartbeats: f64,
    /// Share of heartbeats that arrive only after a later leader was elected.
    pub delayed_heartbeats: f64,
    /// Share of replies that take up to four seconds.
    pub slow_replies: f64,
    /// Share of direct commands that are executed or replied to seconds later.
    pub slow_commands: f64,
    /// Rate at which the newest leader sends its fencing token by direct command to an unacknowledged
    /// machine.
    pub token_commands: f64,
    /// Rate of periods in which machines are partitioned.
    pub partitioned: f64,
    /// Rate of periods in which neither replies nor direct commands reach machines.
    pub replies_lost: f64,
    /// Rate of periods in which heartbeats of machines reach no leader, while direct commands reach the
    /// machines.
    pub heartbeats_lost: f64,
    /// Rate of periods in which machines freeze.
    pub frozen: f64,
    /// Rate of periods in which the leader reaches its workers but not the state store.
    pub store_lost: f64,
    /// Share of the periods of `store_lost` in which the state store soon becomes unavailable to all.
    pub store_outage: f64,
    /// Whether the cloud is unavailable while a leader cannot reach the state store, so that no machine is
    /// returned.
    pub cloud_unavailable: bool,
    /// Rate of periods without any leader, longer than a lease.
    pub no_leader: f64,
    /// Rate at which a machine is lost without an interruption notice.
    pub machine_lost: f64,
    /// Whether jobs have different priorities, so that some are preempted, some submissions arrive again
    /// late, and leaders read the cloud's machine list.
    pub mixed_load: bool,
    /// Rate at which a random job is cancelled.
    pub cancel: f64,
    /// Share of the jobs that are cancelled when their last task ends.
    pub cancel_at_end: f64,
    /// Share of the jobs with tasks on machines in a period of faults that are cancelled during the period.
    pub cancel_on_faulty_machine: f64,
}

/// The common faults, on which all combinations are based.
pub const COMMON: Faults = Faults {
    steps: 1600,
    jobs: 24,
    cancel_s: 47.0,
    longest_task_s: 60.0,
    failover: 0.006,
    failover_every_s: None,
    partition: true,
    lost_replies: 0.03,
    late_writes: 0.0,
    duplicate_heartbeats: 0.0,
    delayed_heartbeats: 0.0,
    slow_replies: 0.0,
    slow_commands: 0.0,
    token_commands: 0.5,
    partitioned: 0.01,
    replies_lost: 0.0,
    heartbeats_lost: 0.0,
    frozen: 0.0,
    store_lost: 0.0,
    store_outage: 0.0,
    cloud_unavailable: false,
    no_leader: 0.0,
    machine_lost: 0.0,
    mixed_load: false,
    cancel: 0.004,
    cancel_at_end: 0.0,
    cancel_on_faulty_machine: 0.0,
};

/// The base of shorter simulations, with 150 s of faults. No zone is partitioned, and single machines are
/// partitioned more rarely than in [`COMMON`].
pub const SHORT: Faults = Faults {
    steps: 600,
    jobs: 15,
    partition: false,
    partitioned: 0.003,
    machine_lost: 0.002,
    mixed_load: true,
    ..COMMON
};

/// All faults combined.
pub const ALL: Faults = Faults {
    partition: true,
    late_writes: 0.15,
    duplicate_heartbeats: 0.1,
    delayed_heartbeats: 0.03,
    slow_replies: 0.1,
    slow_commands: 0.3,
    token_commands: 0.1,
    replies_lost: 0.005,
    heartbeats_lost: 0.005,
    frozen: 0.005,
    store_lost: 0.004,
    store_outage: 0.2,
    no_leader: 0.001,
    cancel_at_end: 0.1,
    cancel_on_faulty_machine: 0.2,
    longest_task_s: 100.0,
    ..SHORT
};
