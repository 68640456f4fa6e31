//! Scale out for job arrays: machines for waiting array work that would not drain in time.

use super::offers::{add_scale_out, FittingOffer};
use super::{Autoscaler, ScaleOutItem};
use crate::sched::{may_use, JobClass};

/// Processors that a task counts for at least.
const MIN_TASK_CPUS: f64 = 0.1;

/// An array has waited for long once it has waited for this part of the drain time.
const LONG_WAIT_SHARE: f64 = 0.5;

/// Waiting arrays that can use the same machines.
struct ArrayDemand<'a> {
    /// The first of them.
    class: &'a JobClass,
    /// Processor seconds of waiting work, weighted up for arrays that have waited long.
    work: f64,
    /// Processors of all their waiting tasks.
    cpus: f64,
}

impl Autoscaler<'_> {
    /// Scales out for arrays whose waiting work would not drain within `policy.drain_time`.
    pub(super) fn scale_out_for_arrays(&self, scale_out: &mut Vec<ScaleOutItem>) {
        let drain_s = self.policy.drain_time.secs();
        for demand in self.array_demands() {
            let Some(FittingOffer { offer, .. }) = self.fitting_offers(demand.class).into_iter().next()
            else {
                continue;
            };
            let machine_type = &self.types[offer.type_index];
            let supply = self.array_supply(demand.class, drain_s + machine_type.boot_s);
            let falls_short = demand.work > supply;
            if !falls_short {
                continue;
            }
            let by_work = (demand.work - supply) / (machine_type.cpus * drain_s);
            // The waiting tasks cannot use more processors than they need, and some are booting already.
            let by_width = (demand.cpus - self.booting_cpus(demand.class)) / machine_type.cpus;
            // Less than half a machine is not worth one, unless there is none at all.
            let min_count = if supply > 0.0 { 0.0 } else { 1.0 };
            let count = by_work.min(by_width).round().max(min_count) as u32;
            if count > 0 {
                add_scale_out(scale_out, ScaleOutItem { offer, count });
            }
        }
    }

    /// The waiting arrays. Classes that can use the same machines share them; they are counted together.
    fn array_demands(&self) -> Vec<ArrayDemand<'_>> {
        let drain_s = self.policy.drain_time.secs();
        let mut demands: Vec<ArrayDemand> = Vec::new();
        for &(class_index, unmet) in &self.plan.unplaced {
            let class = &self.snapshot.classes[class_index];
            if class.gang || class.replica_machines.is_some() {
                continue;
            }
            let cpus = class.need.cpus.max(MIN_TASK_CPUS) * f64::from(unmet);
            // Estimates may be mostly too low for a whole day; then capacity seems enough while jobs
            // wait. What has waited long counts for more.
            let wait_weight = (class.waited.secs() / (drain_s * LONG_WAIT_SHARE)).max(1.0);
            let work = cpus * class.adjusted_runtime.secs() * wait_weight;
            match demands.iter_mut().find(|demand| uses_same_machines(demand.class, class)) {
                Some(demand) => {
                    demand.work += work;
                    demand.cpus += cpus;
                }
                None => demands.push(ArrayDemand { class, work, cpus }),
            }
        }
        demands
    }

    /// Processors of booting machines that a class may use. Without counting them, a few tasks that had
    /// waited for long scaled out again and again until the first machine was up.
    fn booting_cpus(&self, class: &JobClass) -> f64 {
        let machines = self.snapshot.machines.iter().enumerate();
        let booting = machines
            .filter(|(index, _)| self.machine_status[*index].booting && self.serves_array(class, *index));
        booting.map(|(_, machine)| machine.free.cpus).sum()
    }

    /// Processor seconds that the existing machines have for a class within `horizon_s` seconds.
    fn array_supply(&self, class: &JobClass, horizon_s: f64) -> f64 {
        let mut supply = 0.0;
        for (index, machine) in self.snapshot.machines.iter().enumerate() {
            if !self.serves_array(class, index) {
                continue;
            }
            let is_booting = self.machine_status[index].booting;
            let boot_left_s = if is_booting { machine.accepts_starts_in.secs() } else { 0.0 };
            let busy: f64 =
                machine.placed.iter().map(|task| task.need.cpus * task.remaining.secs().min(horizon_s)).sum();
            supply += (machine.total.cpus * (horizon_s - boot_left_s).max(0.0) - busy).max(0.0);
        }
        supply
    }

    /// Whether an array's tasks can count on a machine.
    fn serves_array(&self, class: &JobClass, index: usize) -> bool {
        let machine = &self.snapshot.machines[index];
        let is_reserved = self.snapshot.is_below_reserved_priority(class, machine);
        let stays = machine.reclaimed_in.is_none() && self.is_reliable(index);
        may_use(class, machine) && stays && !is_reserved && machine.total.fits(&class.need) > 0
    }
}

/// Whether two classes may use the same machines.
fn uses_same_machines(one: &JobClass, other: &JobClass) -> bool {
    one.machine_types == other.machine_types && one.spot == other.spot && one.zone == other.zone
}
