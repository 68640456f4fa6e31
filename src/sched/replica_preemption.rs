//! Preemption for services: what is preempted on a machine so that one more replica fits.

use super::plan_state::PlanState;
use super::preemption_rule::preemptible_for;
use super::snapshot::JobClass;
use crate::time::Micros;

/// Expected time from preempting a task by a direct command until its machine reports that the task has
/// ended.
const PREEMPTION_DELAY: Micros = Micros::from_millis(800);

/// What has to be preempted on a machine so that one more replica fits, and how soon the replica can start.
pub(super) struct ReplicaPreemption {
    /// Tasks to preempt, as indices into the machine's `placed`.
    pub(super) victims: Vec<usize>,
    /// Work that is lost by the preemption, in processor time.
    pub(super) lost_work: Micros,
    /// Time until the replica can be started on the machine.
    pub(super) ready_in: Micros,
}

impl ReplicaPreemption {
    /// A replica that fits without preempting further tasks.
    fn without_victims(ready_in: Micros) -> ReplicaPreemption {
        ReplicaPreemption { victims: Vec::new(), lost_work: Micros::ZERO, ready_in }
    }
}

impl PlanState<'_> {
    /// What has to be preempted on the machine so that one more replica fits. `None` if no replica can fit.
    pub(super) fn preemption_for_replica(
        &self,
        class: &JobClass,
        machine_index: usize,
    ) -> Option<ReplicaPreemption> {
        let machine = &self.snapshot.machines[machine_index];
        if self.free[machine_index].fits(&class.need) > 0 {
            let is_stopping = machine.placed.iter().any(|task| task.stopping);
            let next_heartbeat = machine.accepts_starts_in;
            let ready_in = if is_stopping { next_heartbeat.min(PREEMPTION_DELAY) } else { next_heartbeat };
            return Some(ReplicaPreemption::without_victims(ready_in));
        }
        // Tasks that this plan preempts here for other replicas may leave capacity for this one too.
        let is_preempted = |task: usize| self.preempted_for_replicas.contains(&(machine_index, task));
        let ending =
            machine.placed.iter().enumerate().filter(|(index, task)| task.stopping || is_preempted(*index));
        let mut free = ending.fold(self.free[machine_index], |free, (_, task)| free.plus(&task.need, 1));
        if free.fits(&class.need) > 0 {
            return Some(ReplicaPreemption::without_victims(PREEMPTION_DELAY));
        }
        let has_preempted_for_replicas = (0..machine.placed.len()).any(is_preempted);
        if self.has_preemptions[machine_index] && !has_preempted_for_replicas {
            return None;
        }
        let (mut victims, mut lost_work) = (Vec::new(), Micros::ZERO);
        for task in preemptible_for(class, machine).into_iter().filter(|&task| !is_preempted(task)) {
            free = free.plus(&machine.placed[task].need, 1);
            lost_work = lost_work + machine.placed[task].lost_work;
            victims.push(task);
            if free.fits(&class.need) > 0 {
                return Some(ReplicaPreemption { victims, lost_work, ready_in: PREEMPTION_DELAY });
            }
        }
        None
    }
}
