//! Random snapshots with services, and with arrays that compete with them.

use milletlock::sched::{
    JobClass, MachineSnapshot, PlacedTask, ReservedHeadroom, Resources, Snapshot, TeamUse,
};
use milletlock::time::Micros;
use milletlock::wire::Priority;
use proptest::prelude::*;

use crate::builders::{service, snapshot, CPU_PRICE, SERVICE_RUNTIME};
use crate::common::planner::{any_empty_machine, any_priority, machine_with_tasks, need, running_task, secs};

prop_compose! {
    fn any_placed_task()(
        cpus in 1u32..5,
        priority in any_priority(),
        within_fair_share in prop::bool::weighted(0.2),
        team in 0usize..2,
        lost_work_s in 0i64..90,
        state in 0u8..4,
        is_replica in any::<bool>(),
    ) -> PlacedTask {
        PlacedTask {
            within_fair_share,
            team,
            lost_work: secs(lost_work_s),
            is_replica,
            preemptible: state < 2,
            stopping: state == 2,
            ..running_task(f64::from(cpus), priority)
        }
    }
}

/// The tasks that fit into `cpus` processors, each beside the fitting tasks before it.
fn fitting_tasks(tasks: Vec<PlacedTask>, cpus: f64) -> Vec<PlacedTask> {
    let mut used = 0.0;
    let mut fitting = Vec::new();
    for task in tasks {
        if used + task.need.cpus <= cpus {
            used += task.need.cpus;
            fitting.push(task);
        }
    }
    fitting
}

prop_compose! {
    fn any_machine()(
        machine in any_empty_machine(4),
        tasks in prop::collection::vec(any_placed_task(), 0..5),
    ) -> MachineSnapshot {
        let fitting = fitting_tasks(tasks, machine.total.cpus);
        machine_with_tasks(MachineSnapshot { cpu_price: CPU_PRICE, ..machine }, fitting)
    }
}

prop_compose! {
    /// A service, or an array that competes with the services but does not preempt any tasks.
    fn any_class()(
        is_service in prop::bool::weighted(0.7),
        priority in any_priority(),
        within_fair_share in prop::bool::weighted(0.2),
        team in 0usize..2,
        count in 1u32..6,
        cpus in 1u32..5,
        machine_types in prop_oneof![Just(vec![0]), Just(vec![1]), Just(vec![0, 1])],
        zone in prop::option::weighted(0.2, 0usize..2),
        zone_rule in 0u8..4,
        spot in any::<bool>(),
        live_tasks in 0u32..2,
        replica_machines in prop::collection::vec(0usize..8, 0..3),
    ) -> JobClass {
        JobClass {
            priority,
            within_fair_share,
            team,
            tasks: count + live_tasks,
            need: need(f64::from(cpus)),
            machine_types,
            zone,
            one_zone: zone_rule == 1,
            spread: zone_rule == 2,
            spot,
            tasks_by_zone: vec![live_tasks, 0],
            preempt_after: if is_service { Micros::ZERO } else { secs(1000) },
            adjusted_runtime: if is_service { SERVICE_RUNTIME } else { secs(30) },
            replica_machines: is_service.then_some(replica_machines),
            ..service(count)
        }
    }
}

prop_compose! {
    /// A snapshot with a few machines, and with classes of two teams. The first team may have a quota.
    pub fn any_snapshot()(
        machines in prop::collection::vec(any_machine(), 0..8),
        classes in prop::collection::vec(any_class(), 1..6),
        quota_above_use in prop::option::of(0u32..12),
        has_headroom in any::<bool>(),
    ) -> Snapshot {
        let tasks_of_first_team =
            machines.iter().flat_map(|machine| &machine.placed).filter(|task| task.team == 0);
        let used = tasks_of_first_team.fold(Resources::default(), |sum, task| sum.plus(&task.need, 1));
        let cpu_quota = quota_above_use.map_or(0.0, |above| used.cpus + f64::from(above));
        let headroom = ReservedHeadroom { need: need(15.0), priority: Priority::Urgent, spot: false };
        Snapshot {
            teams: vec![TeamUse { used, cpu_quota, gpu_quota: 0.0 }, TeamUse::default()],
            reserved_headroom: vec![None, has_headroom.then_some(headroom)],
            ..snapshot(machines, classes)
        }
    }
}
