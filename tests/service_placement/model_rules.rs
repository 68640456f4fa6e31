//! Rules that every plan with services follows, checked on random snapshots.

use milletlock::sched::plan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::builders::machines_of;
use crate::common::planner::CPU_TOLERANCE;
use crate::generators::any_snapshot;
use crate::model::Model;

/// Number of random cases for each test.
const CASES: u32 = 3000;
/// The seed of all random cases.
const SEED: u64 = 17;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replicas on machines that their machine types, zones or use of spot instances do not
    /// allow, and against replicas beyond zone limits or the team's quota.
    #[test]
    fn replicas_are_placed_only_where_they_are_allowed(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for (index, class) in
            snapshot.classes.iter().enumerate().filter(|(index, _)| model.is_service(*index))
        {
            let machines = machines_of(&plan, index);
            let tasks_in_zone = |zone: usize| model.tasks_in_zone(index, zone);
            prop_assert!(machines.len() <= class.startable_tasks as usize);
            prop_assert!(machines.iter().all(|&machine| model.may_use(index, machine)));
            prop_assert!(!class.one_zone || tasks_in_zone(0) == 0 || tasks_in_zone(1) == 0);
            let most = class.tasks.div_ceil(2);
            prop_assert!(!class.spread || (0..2).all(|zone| tasks_in_zone(zone) <= most));
        }
        let quota = snapshot.teams[0].cpu_quota;
        prop_assert!(quota <= 0.0 || model.used_by_team(0) <= quota + CPU_TOLERANCE);
    }

    /// Guards against placing tasks on capacity that does not become free.
    #[test]
    fn placed_tasks_fit_into_capacity_that_is_free_or_being_freed(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for machine in 0..snapshot.machines.len() {
            let available = model.cpus_with(machine, |index, task| {
                task.stopping || model.preempted.contains(&(machine, index))
            });
            let placed = model.placed_cpus(machine, |_| true);
            prop_assert!(placed <= available + CPU_TOLERANCE, "machine {}", machine);
        }
    }

    /// Guards against preempting equal or higher priorities, preempting work within its team's fair share for
    /// other work, and preempting tasks that no replica needs.
    #[test]
    fn only_lower_priorities_are_preempted_and_only_if_a_replica_needs_it(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        let services = || (0..snapshot.classes.len()).filter(|class| model.is_service(*class));
        for &(machine, index) in &model.preempted {
            let task = &snapshot.machines[machine].placed[index];
            let is_needed_by = |class: usize| {
                let starts_here = machines_of(&plan, class).contains(&machine);
                let shares_quota = snapshot.classes[class].team == 0 && task.team == 0;
                (starts_here || shares_quota) && model.may_preempt(class, task)
            };
            prop_assert!(services().any(is_needed_by), "machine {}, task {}", machine, index);
            let free_without = model.cpus_with(machine, |_, task| task.stopping);
            let is_needed = model.placed_cpus(machine, |_| true) > free_without + CPU_TOLERANCE;
            prop_assert!(
                is_needed || task.team == 0,
                "machine {}, task {} is preempted without need", machine, index
            );
        }
    }

    /// Guards against a replica that waits although a machine has capacity for it, or would have it after
    /// preemption.
    #[test]
    fn a_replica_waits_only_if_no_machine_has_capacity_for_it(snapshot in any_snapshot()) {
        let plan = plan(&snapshot);
        let model = Model::new(&snapshot, &plan);
        for &(class, unplaced) in plan.unplaced.iter().filter(|unmet| model.is_service(unmet.0)) {
            let placed = machines_of(&plan, class).len() as u32;
            prop_assert_eq!(placed + unplaced, snapshot.classes[class].startable_tasks);
            if model.quota_allows_another(class) {
                let mut machines = 0..snapshot.machines.len();
                let machine = machines.find(|&machine| model.could_take_another(class, machine));
                prop_assert_eq!(machine, None);
            }
        }
    }
}
