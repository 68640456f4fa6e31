//! Autoscaling: which machines to add (scale out) and which idle machines to remove (scale in). It is pure
//! code like the planner: it reads the plan's unplaced tasks and the state of the machines, and returns a
//! decision. The caller sends the requests to the cloud.
//!
//! - `offers`: which cloud offers fit a class, cheapest per task first.
//! - `gangs`, `arrays`, `services`: scale out for each kind of waiting work.
//! - `scale_in`: which idle machines are removed, beyond the warm pools.

mod arrays;
mod gangs;
mod offers;
mod scale_in;
mod services;

use crate::sched::{Plan, Snapshot};
use crate::time::Micros;
use crate::wire::MachineType;

/// What autoscaling needs to know about a machine beyond the planner's snapshot. Slices of it are indexed
/// like `Snapshot::machines`.
#[derive(Clone, Copy, Debug)]
pub struct MachineStatus {
    /// Time since the machine was requested from the cloud, as far as this is known.
    pub age: Micros,
    /// How long the machine has had no task; `None` while it has one or is booting.
    pub idle: Option<Micros>,
    /// Whether the machine is still booting.
    pub booting: bool,
}

/// A cloud offer: machines of one type in one zone, either on demand or spot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Index into the machine types.
    pub type_index: usize,
    /// Index into the zones.
    pub zone: usize,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

/// Machines of one offer to add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleOutItem {
    /// The offer of the machines.
    pub offer: MachineOffer,
    /// Number of machines.
    pub count: u32,
}

/// Settings of scale out and scale in.
#[derive(Clone, Copy, Debug)]
pub struct ScalingPolicy {
    /// Time within which waiting array work should be done once new machines are up.
    pub drain_time: Micros,
    /// Idle time after which a machine is removed.
    pub idle_timeout: Micros,
    /// Idle timeout for machine types that have a warm pool.
    pub warm_idle_timeout: Micros,
    /// Idle timeout for machine types on which more jobs with deadlines are expected.
    pub deadline_idle_timeout: Micros,
    /// A machine that has been booting for longer than this factor times its type's nominal boot time is no
    /// longer counted as capacity.
    pub max_boot_factor: f64,
}

/// Machines of a type that are kept although they are idle, so that urgent work need not wait for a boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmPool {
    /// Number of machines to keep.
    pub count: usize,
    /// Whether the jobs that the machines are kept for may use spot instances. If not, spot instances do not
    /// count towards the pool.
    pub spot: bool,
}

/// All inputs of scale out and scale in. Slices by machine are indexed like `Snapshot::machines`, slices by
/// type like `types`.
pub struct Autoscaler<'a> {
    /// The planner's snapshot.
    pub snapshot: &'a Snapshot,
    /// The plan made from the snapshot. Scale out adds machines for its unplaced tasks.
    pub plan: &'a Plan,
    /// By machine: its age and idle time.
    pub machine_status: &'a [MachineStatus],
    /// The machine types.
    pub types: &'a [MachineType],
    /// By type: indices of the zones that offer it.
    pub zones: &'a [Vec<usize>],
    /// Offers from which no machines are requested for now, because the cloud refused them recently or
    /// because their zone is partitioned.
    pub refused: &'a [MachineOffer],
    /// By type: the warm pool.
    pub warm_pools: &'a [WarmPool],
    /// By type: whether more jobs with deadlines are expected on it.
    pub deadline_jobs_expected: &'a [bool],
    /// Settings of scale out and scale in.
    pub policy: ScalingPolicy,
}

/// Which machines to add and which to remove.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ScalingDecision {
    /// Machines to add, at most one item for each offer.
    pub scale_out: Vec<ScaleOutItem>,
    /// Indices into `Snapshot::machines` of the machines to remove, those with the highest price per
    /// processor first.
    pub scale_in: Vec<usize>,
}

impl Autoscaler<'_> {
    /// Decides which machines to add and which to remove. In the scale-out list, machines for gangs come
    /// first, then those for arrays, then those for services.
    pub fn decide(&self) -> ScalingDecision {
        let mut scale_out = Vec::new();
        self.scale_out_for_gangs(&mut scale_out);
        self.scale_out_for_arrays(&mut scale_out);
        self.scale_out_for_services(&mut scale_out);
        ScalingDecision { scale_out, scale_in: self.scale_in() }
    }

    /// Whether a machine counts as capacity: it is up, or it has not been booting for longer than the policy
    /// allows.
    fn is_reliable(&self, machine: usize) -> bool {
        let nominal_boot_s = self.types[self.snapshot.machines[machine].machine_type].boot_s;
        let status = &self.machine_status[machine];
        !status.booting || status.age.secs() <= nominal_boot_s * self.policy.max_boot_factor
    }
}
