//! Random snapshots for the planner.

use milletlock::sched::{
    JobClass, MachineSnapshot, PlacedTask, ReservedHeadroom, Resources, Snapshot, TeamUse,
};
use milletlock::wire::Priority;
use proptest::prelude::*;

use crate::common::planner::{
    any_empty_machine, any_priority, class, machine_with_tasks, need, running_task, secs, IMAGE,
};

/// The machine type that may have reserved headroom.
pub const LARGE_TYPE: usize = 1;

prop_compose! {
    fn any_placed_task()(
        cpus in 1u32..3,
        priority in any_priority(),
        remaining_s in 1i64..90,
        preemptible in any::<bool>(),
    ) -> PlacedTask {
        PlacedTask {
            team: usize::from(!preemptible),
            remaining: secs(remaining_s),
            lost_work: secs(remaining_s),
            preemptible,
            ..running_task(f64::from(cpus), priority)
        }
    }
}

/// The leading tasks whose processors together do not exceed `cpus`.
fn fitting_tasks(tasks: Vec<PlacedTask>, cpus: f64) -> Vec<PlacedTask> {
    let mut used = 0.0;
    let mut fitting = Vec::new();
    for task in tasks {
        used += task.need.cpus;
        if used <= cpus {
            fitting.push(task);
        }
    }
    fitting
}

prop_compose! {
    fn any_machine()(
        cpu_price in 0i64..3,
        mut machine in any_empty_machine(30),
        tasks in prop::collection::vec(any_placed_task(), 0..4),
    ) -> MachineSnapshot {
        machine.cpu_price = cpu_price;
        machine.fetch_gb_per_s = 0.5;
        // A machine that accepts starts now gets its next heartbeat soon.
        if machine.accepts_starts {
            machine.accepts_starts_in.0 %= secs(4).0;
        }
        let fitting = fitting_tasks(tasks, machine.total.cpus);
        machine_with_tasks(machine, fitting)
    }
}

prop_compose! {
    /// An array or a gang with fewer than `tasks_end` startable tasks.
    fn any_class(tasks_end: u32)(
        missed_objectives in 0u8..3,
        priority in any_priority(),
        team in 0usize..2,
        count in 1..tasks_end,
        gang in any::<bool>(),
        cpus in 1u32..5,
        machine_types in prop_oneof![Just(vec![0]), Just(vec![1]), Just(vec![0, 1])],
        zone in prop::option::weighted(0.2, 0usize..2),
        zone_rule in 0u8..3,
        spot in any::<bool>(),
        adjusted_runtime_s in 1i64..100,
        waited_s in 0i64..200,
        live_tasks in 0u32..2,
    ) -> JobClass {
        JobClass {
            priority,
            aged_priority: (missed_objectives == 2 && gang).then_some(Priority::Urgent),
            team,
            tasks: count + live_tasks,
            gang,
            need: need(f64::from(cpus)),
            machine_types,
            zone,
            one_zone: zone_rule == 1,
            spread: zone_rule == 2,
            spot,
            image: Some(IMAGE),
            image_gb: 2.0,
            tasks_by_zone: vec![live_tasks, 0],
            preempt_after: secs(1000),
            missed_objectives,
            ..class(count, adjusted_runtime_s, waited_s)
        }
    }
}

prop_compose! {
    /// A snapshot with fewer than `machines_end` machines and with classes of fewer than `tasks_end`
    /// startable tasks each.
    pub fn any_snapshot(machines_end: usize, tasks_end: u32)(
        machines in prop::collection::vec(any_machine(), 0..machines_end),
        classes in prop::collection::vec(any_class(tasks_end), 0..7),
        quota_above_use in 0..tasks_end + 4,
        (has_headroom, headroom_on_spot) in any::<(bool, bool)>(),
        reserve in any::<bool>(),
    ) -> Snapshot {
        let tasks_of_first_team =
            machines.iter().flat_map(|machine| &machine.placed).filter(|task| task.team == 0);
        let used = tasks_of_first_team.fold(Resources::default(), |sum, task| sum.plus(&task.need, 1));
        // The quota is a little above the current use, so that it is sometimes reached; zero means no quota.
        let cpu_quota = if quota_above_use == 0 { 0.0 } else { used.cpus + f64::from(quota_above_use) };
        let headroom =
            ReservedHeadroom { need: need(15.0), priority: Priority::Urgent, spot: headroom_on_spot };
        Snapshot {
            zone_count: 2,
            machines,
            classes,
            reserve,
            low_priority_delay_step: secs(4),
            delay_step: secs(2),
            headroom_machines: 1,
            teams: vec![TeamUse { used, cpu_quota, gpu_quota: 0.0 }, TeamUse::default()],
            reserved_headroom: vec![None, has_headroom.then_some(headroom)],
        }
    }
}
