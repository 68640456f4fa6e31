//! Scale out for job arrays: adds machines if the waiting work of arrays would not be done within the drain
//! time.

use super::offers::{add_scale_out, FittingOffer};
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, JobClass};

/// Lower bound of the processors that a task counts for.
const MIN_COUNTED_CPUS: f64 = 0.1;

/// An array counts as having waited long once it has waited for this fraction of the drain time.
const LONG_WAIT_FRACTION: f64 = 0.5;

/// The demand of waiting arrays that can use the same machines.
struct ArrayDemand<'a> {
    /// The first of these arrays in the queue. All of them have the same machine types, zone and use of spot
    /// instances.
    class: &'a JobClass,
    /// Processor seconds of waiting work, weighted higher for arrays that have waited long.
    cpu_seconds: f64,
    /// Processors that all the waiting tasks need together.
    cpus: f64,
}

impl Autoscaler<'_> {
    /// Adds machines for arrays whose waiting work would not be done within `policy.drain_time`.
    pub(super) fn scale_out_for_arrays(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let drain_s = self.policy.drain_time.secs();
        for demand in self.array_demands() {
            let Some(FittingOffer { offer, .. }) = self.fitting_offers(demand.class).into_iter().next()
            else {
                continue;
            };
            let machine_type = &self.types[offer.type_index];
            let supply = self.array_supply(demand.class, drain_s + machine_type.boot_s);
            let falls_short = demand.cpu_seconds > supply;
            if !falls_short {
                continue;
            }
            let count_by_work = (demand.cpu_seconds - supply) / (machine_type.cpus * drain_s);
            // The waiting tasks cannot use more processors than they need, and booting machines already cover
            // some of them.
            let count_by_cpus = (demand.cpus - self.booting_cpus(demand.class)) / machine_type.cpus;
            // A need of less than half a machine adds none, unless there are no machines for these arrays at
            // all.
            let min_count = if supply > 0.0 { 0.0 } else { 1.0 };
            let count = count_by_work.min(count_by_cpus).round().max(min_count) as u32;
            if count > 0 {
                add_scale_out(scale_out, ScaleOutItem { offer, count });
            }
        }
    }

    /// The demand of the waiting arrays. Arrays that can use the same machines compete for them, so their
    /// demand is added up.
    fn array_demands(&self) -> Vec<ArrayDemand<'_>> {
        let drain_s = self.policy.drain_time.secs();
        let mut demands: Vec<ArrayDemand> = Vec::new();
        for &(class_index, unplaced) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if class.gang || class.replica_machines.is_some() {
                continue;
            }
            let cpus = class.need.cpus.max(MIN_COUNTED_CPUS) * f64::from(unplaced);
            // Most estimates may be too low for a whole day, so that capacity seems sufficient although jobs
            // wait. Therefore the work of arrays that have waited long counts for more.
            let wait_weight = (class.waited.secs() / (drain_s * LONG_WAIT_FRACTION)).max(1.0);
            let cpu_seconds = cpus * class.adjusted_runtime.secs() * wait_weight;
            match demands.iter_mut().find(|demand| uses_same_machines(demand.class, class)) {
                Some(demand) => {
                    demand.cpu_seconds += cpu_seconds;
                    demand.cpus += cpus;
                }
                None => demands.push(ArrayDemand { class, cpu_seconds, cpus }),
            }
        }
        demands
    }

    /// Processors of the booting machines that a class may use. If they were not counted, a few tasks that
    /// have waited long would cause another scale-out in every round until the first machine is up.
    fn booting_cpus(&self, class: &JobClass) -> f64 {
        let machines = self.snapshot.machines.iter().enumerate();
        let booting = machines
            .filter(|(index, _)| self.machine_status[*index].booting && self.can_run_array(class, *index));
        booting.map(|(_, machine)| machine.free.cpus).sum()
    }

    /// Processor seconds that the existing machines have for a class within the next `horizon_s` seconds.
    fn array_supply(&self, class: &JobClass, horizon_s: f64) -> f64 {
        let mut supply = 0.0;
        for (index, machine) in self.snapshot.machines.iter().enumerate() {
            if !self.can_run_array(class, index) {
                continue;
            }
            let is_booting = self.machine_status[index].booting;
            let boot_left_s = if is_booting { machine.accepts_starts_in.secs() } else { 0.0 };
            let busy_cpu_s: f64 =
                machine.placed.iter().map(|task| task.need.cpus * task.remaining.secs().min(horizon_s)).sum();
            supply += (machine.total.cpus * (horizon_s - boot_left_s).max(0.0) - busy_cpu_s).max(0.0);
        }
        supply
    }

    /// Whether a machine counts as capacity for an array's tasks.
    fn can_run_array(&self, class: &JobClass, index: usize) -> bool {
        let machine = &self.snapshot.machines[index];
        let is_reserved = self.snapshot.is_below_reserved_priority(class, machine);
        let remains_available = machine.reclaimed_in.is_none() && self.is_reliable(index);
        may_use(class, machine) && remains_available && !is_reserved && machine.total.fits(&class.need) > 0
    }
}

/// Whether two classes may use the same machines.
fn uses_same_machines(one: &JobClass, other: &JobClass) -> bool {
    one.machine_types == other.machine_types && one.spot == other.spot && one.zone == other.zone
}
