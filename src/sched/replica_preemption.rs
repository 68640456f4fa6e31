//! Preemption for services: what is preempted on a machine so that one more replica fits.

use super::plan_state::PlanState;
use super::preemption_rule::preemptible_for;
use super::snapshot::JobClass;
use crate::time::Micros;

/// Time until a machine on which a task was preempted by a direct command reports that it has ended.
const PREEMPTED_WITHIN: Micros = Micros::from_millis(800);

/// What it takes for one more replica to fit on a machine.
pub(super) struct ReplicaPreemption {
    /// Tasks to preempt, as indices into the machine's `placed`.
    pub(super) victims: Vec<usize>,
    /// Work that is lost by it, in processor time.
    pub(super) lost_work: Micros,
    /// Time until the machine can take the start.
    pub(super) ready_in: Micros,
}

impl ReplicaPreemption {
    /// Nothing has to be preempted.
    fn none(ready_in: Micros) -> ReplicaPreemption {
        ReplicaPreemption { victims: Vec::new(), lost_work: Micros::ZERO, ready_in }
    }
}

impl PlanState<'_> {
    /// What it takes for one more replica to fit on the machine; none if it cannot.
    pub(super) fn preemption_for_replica(
        &self,
        class: &JobClass,
        machine_index: usize,
    ) -> Option<ReplicaPreemption> {
        let machine = &self.snapshot.machines[machine_index];
        if self.free[machine_index].fits(&class.need) > 0 {
            let is_stopping = machine.placed.iter().any(|task| task.stopping);
            let next_report = machine.accepts_starts_in;
            let ready_in = if is_stopping { next_report.min(PREEMPTED_WITHIN) } else { next_report };
            return Some(ReplicaPreemption::none(ready_in));
        }
        // What this plan preempts here for another replica may leave capacity for this one.
        let is_preempted = |task: usize| self.preempted_for_replicas.contains(&(machine_index, task));
        let ending =
            machine.placed.iter().enumerate().filter(|(index, task)| task.stopping || is_preempted(*index));
        let mut free = ending.fold(self.free[machine_index], |free, (_, task)| free.plus(&task.need, 1));
        if free.fits(&class.need) > 0 {
            return Some(ReplicaPreemption::none(PREEMPTED_WITHIN));
        }
        let is_preempted_for_replicas = (0..machine.placed.len()).any(is_preempted);
        if self.has_preemptions[machine_index] && !is_preempted_for_replicas {
            return None;
        }
        let (mut victims, mut lost_work) = (Vec::new(), Micros::ZERO);
        for task in preemptible_for(class, machine).into_iter().filter(|&task| !is_preempted(task)) {
            free = free.plus(&machine.placed[task].need, 1);
            lost_work = lost_work + machine.placed[task].lost_work;
            victims.push(task);
            if free.fits(&class.need) > 0 {
                return Some(ReplicaPreemption { victims, lost_work, ready_in: PREEMPTED_WITHIN });
            }
        }
        None
    }
}
