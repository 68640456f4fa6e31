//! Scale out and scale in: as pure as the planner. It sees the plan's unmet tasks and the machines,
//! and says which machines to rent and which idle ones to give back.
//!
//! - `offers`: which cloud offers fit a class, cheapest per task first.
//! - `gangs`, `arrays`, `services`: scale out for each kind of waiting work.
//! - `scale_in`: which idle machines go back, beside the warm pools.

mod arrays;
mod gangs;
mod offers;
mod scale_in;
mod services;

use crate::sched::{Plan, Snapshot};
use crate::time::Micros;
use crate::wire::MachineType;

/// What the fleet knows of a machine beside the planner's view, by the same index as
/// `Snapshot::machines`.
#[derive(Clone, Copy, Debug)]
pub struct MachineStatus {
    /// Time since the machine was rented (scaled out), as far as known.
    pub age: Micros,
    /// How long it has run no task; `None` while it runs one.
    pub idle: Option<Micros>,
    /// Whether it is still booting.
    pub booting: bool,
}

/// A cloud offer: a machine type in a zone, on demand or spot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Index into the machine types.
    pub ty: usize,
    /// Index into the zones.
    pub zone: usize,
    /// Whether the machine is a spot (preemptible) instance.
    pub spot: bool,
}

/// Machines of one offer to rent (scale out).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleOut {
    /// The offer to rent from.
    pub offer: Offer,
    /// How many machines.
    pub count: u32,
}

/// Settings of scale out and scale in.
#[derive(Clone, Copy, Debug)]
pub struct ScalingPolicy {
    /// Waiting array work should drain within this time once new machines are up.
    pub drain: Micros,
    /// Idle time after which a machine is returned (scaled in).
    pub idle: Micros,
    /// The same for machine types that a warm pool keeps for a higher rank.
    pub idle_kept: Micros,
    /// The same for machine types that jobs with deadlines used of late.
    pub idle_due: Micros,
    /// A machine that boots for longer than this many times its type's nominal boot time is no
    /// longer counted on.
    pub slow_boot: f64,
}

/// Machines of a type that stay though idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmPool {
    /// How many machines stay.
    pub count: usize,
    /// Whether the jobs they stay for may use spot machines; if not, spot machines are not kept.
    pub spot: bool,
}

/// Everything scale out and scale in decide from. Slices by machine are indexed like
/// `Snapshot::machines`, slices by type like `types`.
pub struct CapacityView<'a> {
    /// The planner's snapshot.
    pub snapshot: &'a Snapshot,
    /// The plan made from it; its unmet tasks are what scale out is for.
    pub plan: &'a Plan,
    /// By machine: what the fleet knows of it.
    pub upkeep: &'a [MachineStatus],
    /// The machine types.
    pub types: &'a [MachineType],
    /// By type: indices of the zones that offer it.
    pub zones: &'a [Vec<usize>],
    /// Offers that the cloud refused lately; they are not asked for again yet.
    pub refused: &'a [Offer],
    /// By type: the warm pool.
    pub warm: &'a [WarmPool],
    /// By type: whether jobs with deadlines used it of late.
    pub due: &'a [bool],
    /// Settings.
    pub policy: ScalingPolicy,
}

/// What to rent and which machines to return.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ScalingDecision {
    /// Machines to rent (scale out), at most one entry per offer.
    pub rents: Vec<ScaleOut>,
    /// Indices into `Snapshot::machines` of the machines to return (scale in), dearest first.
    pub returns: Vec<usize>,
}

impl CapacityView<'_> {
    /// Whether a machine can be counted on: it is up, or it boots no longer than the policy allows.
    fn coming(&self, room: usize) -> bool {
        let boot = self.types[self.snapshot.machines[room].machine_type].boot_s;
        !self.upkeep[room].booting || self.upkeep[room].age.secs() <= boot * self.policy.slow_boot
    }

    /// What to rent and which machines to return. Gangs go first, then arrays, then services: the
    /// order in which their scale-outs are merged into one list.
    pub fn decide(&self) -> ScalingDecision {
        let mut rents = Vec::new();
        self.scale_out_for_gangs(&mut rents);
        self.scale_out_for_arrays(&mut rents);
        self.scale_out_for_services(&mut rents);
        ScalingDecision { rents, returns: self.scale_in() }
    }
}
