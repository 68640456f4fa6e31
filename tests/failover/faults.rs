//! The faults that a simulation injects, and the combinations of them that several tests start from.

/// The faults of a simulation. Shares are of messages; rates are per step.
#[derive(Clone)]
pub struct Faults {
    /// Steps before the faults end.
    pub steps: u32,
    /// How many jobs are submitted.
    pub jobs: u32,
    /// A cancelled job's tasks must be gone so many seconds after its user was told. Where it is
    /// more than twice the lease, a leader without the state store replies its workers for longer
    /// than others keep their leases.
    pub cancel_s: f64,
    /// Most seconds that a long task runs.
    pub longest_task_s: f64,
    /// Rate at which another controller becomes leader.
    pub failover: f64,
    /// Another controller becomes leader each time so many seconds have passed.
    pub failover_every_s: Option<f64>,
    /// A zone and a leader are partitioned together now and then.
    pub partition: bool,
    /// Share of transactions without a reply at any time: executed at once or late.
    pub lost_replies: f64,
    /// Share of transactions without a reply that are executed 2 to 12 s later, in periods.
    pub late_writes: f64,
    /// Share of heartbeats of which a copy arrives again, up to three leases later.
    pub duplicate_heartbeats: f64,
    /// Share of heartbeats that arrive only once a new leader has acted.
    pub held_heartbeats: f64,
    /// Share of replies that take up to four seconds.
    pub slow_replies: f64,
    /// Share of direct commands that are executed or replied to seconds later.
    pub slow_commands: f64,
    /// Share of the steps in which a leader's fencing token is brought to a machine that it has not heard.
    pub token_commands: f64,
    /// Rate of periods in which machines are partitioned.
    pub partitioned: f64,
    /// Rate of periods in which machines get no reply and no command.
    pub replies_lost: f64,
    /// Rate of periods in which machines reach no leader, while commands reach them.
    pub heartbeats_lost: f64,
    /// Rate of periods in which machines freeze.
    pub frozen: f64,
    /// Rate of periods in which the leader loses the state store, not its workers.
    pub store_lost: f64,
    /// Share of those in which the state store is soon out for everybody.
    pub store_outage: f64,
    /// The cloud is out while a leader has lost the state store: no machine can be returned.
    pub cloud_out: bool,
    /// Rate of periods with no leader at all, longer than a lease.
    pub no_leader: f64,
    /// Rate at which a machine dies without a notice.
    pub machine_lost: f64,
    /// Jobs are of all ranks, so that some are stopped for others, and submissions come late again;
    /// leaders see the cloud's list.
    pub mixed_load: bool,
    /// Rate of cancellations of any job.
    pub cancel: f64,
    /// Share of the jobs that are cancelled at the moment of their last end.
    pub cancel_at_end: f64,
    /// Jobs on machines that get into a period of faults, cancelled in it.
    pub cancel_on_faulty_machine: f64,
}

/// The common faults, which are part of each combination.
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
    held_heartbeats: 0.0,
    slow_replies: 0.0,
    slow_commands: 0.0,
    token_commands: 0.5,
    partitioned: 0.01,
    replies_lost: 0.0,
    heartbeats_lost: 0.0,
    frozen: 0.0,
    store_lost: 0.0,
    store_outage: 0.0,
    cloud_out: false,
    no_leader: 0.0,
    machine_lost: 0.0,
    mixed_load: false,
    cancel: 0.004,
    cancel_at_end: 0.0,
    cancel_on_faulty_machine: 0.0,
};

/// Shorter simulations, of two and a half minutes, in which only some machines are partitioned beside what a
/// combination is about.
pub const SHORT: Faults = Faults {
    steps: 600,
    jobs: 15,
    partition: false,
    partitioned: 0.003,
    machine_lost: 0.002,
    mixed_load: true,
    ..COMMON
};

/// All at once.
pub const ALL: Faults = Faults {
    partition: true,
    late_writes: 0.15,
    duplicate_heartbeats: 0.1,
    held_heartbeats: 0.03,
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
