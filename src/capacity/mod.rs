//! Autoscaling: which machines to add (scale out) and which idle ones to remove (scale in). Pure, like
//! the planner: it reads the plan's unmet tasks and the state of the machines and returns a decision;
//! others send it to the cloud.
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

/// What scaling needs to know of a machine beyond the planner's snapshot. Indexed like
/// `Snapshot::machines`.
#[derive(Clone, Copy, Debug)]
pub struct MachineStatus {
    /// Time since the machine was requested from the cloud, as far as known.
    pub age: Micros,
    /// How long it has had no task; `None` while it has one or is booting.
    pub idle: Option<Micros>,
    /// Whether it is still booting.
    pub booting: bool,
}

/// A cloud offer: a machine type in a zone, on demand or spot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Index into the machine types.
    pub type_index: usize,
    /// Index into the zones.
    pub zone: usize,
    /// Whether the machine is a spot (preemptible) instance.
    pub spot: bool,
}

/// Machines of one offer to add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleOutItem {
    /// The offer to take them from.
    pub offer: MachineOffer,
    /// How many machines.
    pub count: u32,
}

/// Settings of scale out and scale in.
#[derive(Clone, Copy, Debug)]
pub struct ScalingPolicy {
    /// Waiting array work should drain within this time once new machines are up.
    pub drain_time: Micros,
    /// Idle time after which a machine is removed.
    pub idle_timeout: Micros,
    /// The idle timeout of machine types that have a warm pool.
    pub warm_idle_timeout: Micros,
    /// The idle timeout of machine types on which more jobs with deadlines are expected.
    pub deadline_idle_timeout: Micros,
    /// A machine that boots for longer than this many times its type's nominal boot time is no
    /// longer counted on.
    pub max_boot_factor: f64,
}

/// Machines of a type that stay up though idle, so that urgent work need not wait for a boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmPool {
    /// How many machines stay.
    pub count: usize,
    /// Whether the jobs they stay for may use spot machines; if not, spot machines do not count.
    pub spot: bool,
}

/// Everything scale out and scale in decide from. Slices by machine are indexed like
/// `Snapshot::machines`, slices by type like `types`.
pub struct Autoscaler<'a> {
    /// The planner's snapshot.
    pub snapshot: &'a Snapshot,
    /// The plan made from it; its unmet tasks are what scale out is for.
    pub plan: &'a Plan,
    /// By machine: its age and use.
    pub machine_status: &'a [MachineStatus],
    /// The machine types.
    pub types: &'a [MachineType],
    /// By type: indices of the zones that offer it.
    pub zones: &'a [Vec<usize>],
    /// Offers that the cloud refused recently; they are not requested again yet.
    pub refused: &'a [MachineOffer],
    /// By type: the warm pool.
    pub warm_pools: &'a [WarmPool],
    /// By type: whether more jobs with deadlines are expected on it.
    pub deadline_jobs_expected: &'a [bool],
    /// Settings.
    pub policy: ScalingPolicy,
}

/// Which machines to add and which to remove.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ScalingDecision {
    /// Machines to add, at most one entry per offer.
    pub scale_out: Vec<ScaleOutItem>,
    /// Indices into `Snapshot::machines` of the machines to remove, most expensive first.
    pub scale_in: Vec<usize>,
}

impl Autoscaler<'_> {
    /// Which machines to add and which to remove. Gangs go first, then arrays, then services: the
    /// order in which their scale-outs are merged into one list.
    pub fn decide(&self) -> ScalingDecision {
        let mut scale_out = Vec::new();
        self.scale_out_for_gangs(&mut scale_out);
        self.scale_out_for_arrays(&mut scale_out);
        self.scale_out_for_services(&mut scale_out);
        ScalingDecision { scale_out, scale_in: self.scale_in() }
    }

    /// Whether a machine can be counted on: it is up, or it boots no longer than the policy allows.
    fn is_reliable(&self, machine: usize) -> bool {
        let nominal_boot_s = self.types[self.snapshot.machines[machine].machine_type].boot_s;
        let status = &self.machine_status[machine];
        !status.booting || status.age.secs() <= nominal_boot_s * self.policy.max_boot_factor
    }
}
