//! Making plans, and assigning their starts to machines.

use std::collections::BTreeMap;

use super::planner_input::PlannerInput;
use super::starts::AssignedStarts;
use super::Fleet;
use crate::jobs::{JobId, MachineId};
use crate::sched::{self, Plan, Snapshot};
use crate::time::{Micros, Steady, Wall};

/// The age at which a plan is replaced even if nothing has changed.
const MAX_PLAN_AGE: Micros = Micros(1_000_000);

/// The minimum time between two plans.
const MIN_PLAN_INTERVAL: Micros = Micros::from_millis(20);

/// Microseconds between two plans for each pair of a job and a machine, since a plan examines every such
/// pair.
const PLAN_INTERVAL_PER_PAIR_US: i64 = 2;

/// The largest number of pairs of a job and a machine that lengthens the interval between plans.
const MAX_COUNTED_PAIRS: i64 = 250_000;

impl Fleet {
    /// Makes a new plan if something has changed and the minimum interval has passed, or if the latest plan
    /// is too old.
    pub fn replan(&mut self, now: Steady, wall: Wall) {
        let age = now - self.planned_at;
        let pairs = (self.jobs.len() * self.machines.len()) as i64;
        let by_size = Micros(pairs.min(MAX_COUNTED_PAIRS) * PLAN_INTERVAL_PER_PAIR_US);
        let is_due = self.dirty && age > MIN_PLAN_INTERVAL.max(by_size);
        if is_due || age > MAX_PLAN_AGE {
            self.plan_now(now, wall);
        }
    }

    /// Makes a plan now. Returns the snapshot that it is made from and the ids of the snapshot's machines.
    pub(super) fn plan_now(&mut self, now: Steady, wall: Wall) -> (Snapshot, Vec<MachineId>) {
        self.dirty = false;
        self.planned_at = now;
        self.end_unstartable_gang_attempts(now);
        let input = self.planner_input(now, wall);
        let mut plan = sched::plan(&input.snapshot);
        if self.awaits_heartbeats(now) {
            plan.preempt.clear();
        }
        self.assign(&input, &plan, now);
        let PlannerInput { snapshot, machines, jobs } = input;
        self.evict_tasks(&plan, &machines, now);
        self.update_waiting_services(&snapshot, &plan);
        let reserved = plan.reservation.iter().flat_map(|reservation| &reservation.machines);
        let reserved = reserved.map(|(machine, _)| machine);
        let closed = reserved.chain(plan.preempt.iter().map(|(machine, _)| machine));
        self.closed_machines = closed.map(|machine| machines[*machine].clone()).collect();
        self.plan = plan;
        self.planned_jobs = jobs;
        self.planned_snapshot = Snapshot { machines: Vec::new(), ..snapshot.clone() };
        (snapshot, machines)
    }

    /// Records which tasks the plan starts on each machine, and begins an attempt of each gang that it
    /// places.
    fn assign(&mut self, input: &PlannerInput, plan: &Plan, now: Steady) {
        self.assigned_starts.clear();
        let mut tasks_by_class: BTreeMap<usize, u32> = BTreeMap::new();
        let mut gang_machines: BTreeMap<usize, Vec<MachineId>> = BTreeMap::new();
        for start in &plan.starts {
            let machine = &input.machines[start.machine];
            if input.snapshot.classes[start.class].gang {
                let machines = gang_machines.entry(start.class).or_default();
                machines.extend((0..start.count).map(|_| machine.clone()));
                continue;
            }
            *tasks_by_class.entry(start.class).or_insert(0) += start.count;
            let job = input.jobs[start.class].clone();
            self.assigned_starts
                .entry(machine.clone())
                .or_default()
                .push(AssignedStarts { job, count: start.count });
        }
        for (class, count) in tasks_by_class {
            self.request_start_mark(&input.jobs[class], count);
        }
        for (class, machines) in gang_machines {
            let waited = input.snapshot.classes[class].waited;
            self.place_gang(&input.jobs[class], machines, waited, now);
        }
        self.reserve_gang_places();
    }

    /// Requests a start mark that allows the next `count` waiting tasks of a job to start.
    fn request_start_mark(&mut self, id: &JobId, count: u32) {
        let Some(job) = self.jobs.get(id) else { return };
        let last_index = count.saturating_sub(1) as usize;
        let last = self.next_tasks(job).nth(last_index);
        if let (Some(job), Some(last)) = (self.jobs.get_mut(id), last) {
            job.request_start_mark(last, count);
        }
    }
}
