//! Services: placement of replicas, which run until their job is cancelled. A replica starts on the machine
//! where it runs soonest. Two replicas of a service share a machine only if no other machine can take them,
//! and they are placed in different zones if that costs little time. If no machine is free soon enough, tasks
//! of lower priority are preempted at once.
//!
//! The cost of a machine is the time until the replica would run there, plus the costs below, which express
//! disadvantages of a machine as time.

use super::decisions::{Plan, Start};
use super::eligibility::{fetch_seconds, may_use};
use super::headroom::capacity_beside_replicas;
use super::plan_state::PlanState;
use super::replica_preemption::ReplicaPreemption;
use super::resources::cpu_tenths;
use super::snapshot::JobClass;
use super::zone_limits::half_of_tasks;
use crate::time::Micros;

/// Step in which costs are compared: costs within the same step count as equal.
const COST_STEP: Micros = Micros::from_millis(500);

/// Cost of preempting tasks: preemption has to save the replica at least this much time.
const PREEMPTION_COST: Micros = Micros::from_millis(1500);

/// Cost of a zone that already has half of the service's replicas.
const ZONE_WITH_HALF_COST: Micros = Micros::from_millis(1500);

/// Cost of a machine with reserved headroom on which a task of the headroom's size still fits beside the
/// replica.
const HEADROOM_KEPT_COST: Micros = Micros::from_millis(1000);

/// Cost of a machine with reserved headroom on which a task of the headroom's size would no longer fit.
const HEADROOM_LOST_COST: Micros = Micros::from_millis(20_000);

/// Cost of a machine that has another replica of the service, or that one has left recently.
const SAME_MACHINE_COST: Micros = Micros::from_millis(600_000);

/// A machine that could take a replica.
struct ReplicaCandidate {
    /// Time until the replica would run, plus the costs of the machine's disadvantages except its zone's.
    cost: Micros,
    /// Work that is lost by preemption, in processor time.
    lost_work: Micros,
    /// Free processors in tenths; machines with fewer free processors go first.
    free_tenths: i64,
    /// Index into `Snapshot::machines`.
    machine: usize,
    /// Tasks to preempt, as indices into the machine's `placed`.
    victims: Vec<usize>,
}

/// The rank of a candidate, given the replicas already placed in each zone. Ranks compare by their fields in
/// the order of declaration, and the smallest rank is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaRank {
    /// The cost, including that of the zone, in steps of `COST_STEP`.
    cost_steps: i64,
    /// Work that is lost by preemption, in processor time.
    lost_work: Micros,
    /// Free processors in tenths.
    free_tenths: i64,
    /// Index into `Snapshot::machines`.
    machine: usize,
}

impl PlanState<'_> {
    /// Starts as many of a service's waiting replicas as possible; returns how many do not start, for lack of
    /// capacity or quota.
    pub(super) fn start_service(&mut self, class_index: usize, plan: &mut Plan) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let within_quota = self.tasks_within_quota(class_index);
        if within_quota < class.startable_tasks {
            // Preempting the team's own tasks of lower priority releases quota.
            plan.preempt.extend(self.preempt_within_quota(class_index));
        }
        let mut avoided: Vec<usize> = class.replica_machines.clone().unwrap_or_default();
        let mut waiting = within_quota;
        let mut candidates = self.replica_candidates(class_index, &avoided);
        while waiting > 0 && !candidates.is_empty() {
            let best = self.best_candidate(class_index, &candidates);
            let chosen = candidates.swap_remove(best);
            if self.zone_allowance(class_index, chosen.machine) == 0 {
                continue;
            }
            self.start_replica(class_index, &chosen, plan);
            waiting -= 1;
            avoided.push(chosen.machine);
            // The machine may take another replica if no other machine can.
            candidates.extend(self.replica_candidate(class_index, chosen.machine, &avoided));
        }
        class.startable_tasks - (within_quota - waiting)
    }

    /// Starts a replica on the chosen machine and preempts the tasks there that it replaces.
    fn start_replica(&mut self, class_index: usize, chosen: &ReplicaCandidate, plan: &mut Plan) {
        let machine = chosen.machine;
        self.allocate(class_index, machine, 1);
        self.has_preemptions[machine] |= !chosen.victims.is_empty();
        let victims = || chosen.victims.iter().map(|&task| (machine, task));
        plan.preempt.extend(victims());
        self.preempted_for_replicas.extend(victims());
        plan.starts.push(Start { class: class_index, machine, count: 1 });
    }

    /// The machines that could take a replica. `avoided` are the machines to use only if there are no others.
    fn replica_candidates(&self, class_index: usize, avoided: &[usize]) -> Vec<ReplicaCandidate> {
        (0..self.snapshot.machines.len())
            .filter_map(|machine| self.replica_candidate(class_index, machine, avoided))
            .collect()
    }

    /// Index of the best candidate, given the replicas already placed in each zone.
    fn best_candidate(&self, class_index: usize, candidates: &[ReplicaCandidate]) -> usize {
        let rank = |index: &usize| self.replica_rank(class_index, &candidates[*index]);
        (0..candidates.len()).min_by_key(rank).unwrap_or(0)
    }

    /// The rank of a candidate, given the replicas already placed in each zone.
    fn replica_rank(&self, class_index: usize, candidate: &ReplicaCandidate) -> ReplicaRank {
        let class = &self.snapshot.classes[class_index];
        let zone = self.snapshot.machines[candidate.machine].zone;
        let has_half = self.tasks_by_zone[class_index][zone] >= half_of_tasks(class);
        let zone_cost = if has_half { ZONE_WITH_HALF_COST } else { Micros::ZERO };
        ReplicaRank {
            cost_steps: (candidate.cost + zone_cost).0 / COST_STEP.0,
            lost_work: candidate.lost_work,
            free_tenths: candidate.free_tenths,
            machine: candidate.machine,
        }
    }

    /// The machine as a candidate for a replica; `None` if a replica cannot run on it.
    fn replica_candidate(
        &self,
        class_index: usize,
        machine_index: usize,
        avoided: &[usize],
    ) -> Option<ReplicaCandidate> {
        let class = &self.snapshot.classes[class_index];
        let machine = &self.snapshot.machines[machine_index];
        if !machine.accepts_starts || machine.reclaimed_in.is_some() || !may_use(class, machine) {
            return None;
        }
        let ReplicaPreemption { victims, lost_work, ready_in } =
            self.preemption_for_replica(class, machine_index)?;
        let mut cost = ready_in + Micros::from_secs(fetch_seconds(class, machine)) + machine.failure_penalty;
        if !victims.is_empty() {
            cost = cost + PREEMPTION_COST;
        }
        if avoided.contains(&machine_index) {
            cost = cost + SAME_MACHINE_COST;
        }
        cost = cost + self.headroom_cost(class, machine_index);
        let free_tenths = cpu_tenths(self.free[machine_index].cpus);
        Some(ReplicaCandidate { cost, lost_work, free_tenths, machine: machine_index, victims })
    }

    /// Cost of a machine with reserved headroom. Replicas do not end by themselves, so a task of the
    /// headroom's size might never fit on the machine again.
    fn headroom_cost(&self, class: &JobClass, machine_index: usize) -> Micros {
        let machine = &self.snapshot.machines[machine_index];
        let Some(headroom) = self.snapshot.headroom_for(machine.machine_type, machine.spot) else {
            return Micros::ZERO;
        };
        let is_as_large = class.need.fits(&headroom.need) > 0;
        if is_as_large {
            return Micros::ZERO;
        }
        let capacity_left =
            capacity_beside_replicas(machine).minus(&self.started_replica_use[machine_index], 1);
        if capacity_left.minus(&class.need, 1).fits(&headroom.need) > 0 {
            HEADROOM_KEPT_COST
        } else {
            HEADROOM_LOST_COST
        }
    }
}
