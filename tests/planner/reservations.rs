//! The reservation of the first blocked class.

use milletlock::sched::{plan, JobClass, MachineSnapshot, PlacedTask, Plan, Reservation, Snapshot, TeamUse};
use milletlock::time::Micros;
use milletlock::wire::Priority;
use proptest::prelude::*;

use crate::common::planner::{
    class, empty_machine, machine_with_tasks, queue_positions, running_task, secs, CPU_TOLERANCE,
};
use crate::generators::any_snapshot;
use crate::model::start_delay;
use crate::random_cases;

/// Processors of a machine that are free at a time for tasks of classes behind the reserved class: the plan's
/// starts of the reserved class and of the classes before it are subtracted.
fn free_cpus_at(snapshot: &Snapshot, plan: &Plan, index: usize, at: Micros, reserved_class: usize) -> f64 {
    let machine = &snapshot.machines[index];
    if !machine.accepts_starts && machine.accepts_starts_in > at {
        return 0.0;
    }
    let ended = machine.placed.iter().filter(|task| task.remaining <= at);
    let ended: f64 = ended.map(|task| task.need.cpus).sum();
    let positions = queue_positions(&snapshot.classes);
    let started = started_cpus(snapshot, plan, index, |class| positions[class] <= positions[reserved_class]);
    machine.free.cpus + ended - started
}

/// Processors of the tasks that the plan starts on a machine, of the classes for which `counts` is true.
fn started_cpus(snapshot: &Snapshot, plan: &Plan, machine: usize, counts: impl Fn(usize) -> bool) -> f64 {
    let starts = plan.starts.iter().filter(|start| start.machine == machine && counts(start.class));
    starts.map(|start| f64::from(start.count) * snapshot.classes[start.class].need.cpus).sum()
}

/// Processors of the backfilled tasks that still run when the reservation begins: tasks that the plan starts
/// on a machine, of classes behind the reserved class in the queue.
fn backfilled_cpus(snapshot: &Snapshot, plan: &Plan, index: usize, reservation: &Reservation) -> f64 {
    let machine = &snapshot.machines[index];
    let positions = queue_positions(&snapshot.classes);
    started_cpus(snapshot, plan, index, |class| {
        let is_behind = positions[class] > positions[reservation.class];
        let class = &snapshot.classes[class];
        is_behind && start_delay(class, machine) + class.adjusted_runtime > reservation.at
    })
}

fn may_reserve(class: &JobClass, machine: &MachineSnapshot) -> bool {
    class.machine_types.contains(&machine.machine_type)
        && class.zone.is_none_or(|zone| zone == machine.zone)
        && (class.spot || !machine.spot)
        && machine.reclaimed_in.is_none()
}

/// When the capacity of a machine changes without any start: when a task on it ends or it begins to accept
/// starts.
fn change_times(machine: &MachineSnapshot) -> impl Iterator<Item = Micros> + '_ {
    let accepts_starts = (!machine.accepts_starts).then_some(machine.accepts_starts_in);
    machine.placed.iter().map(|task| task.remaining).chain(accepts_starts)
}

proptest! {
    #![proptest_config(random_cases(1500))]

    #[test]
    fn reservation_has_the_earliest_time_and_is_not_delayed_by_backfill(snapshot in any_snapshot(7, 9)) {
        let plan = plan(&snapshot);
        let Some(reservation) = &plan.reservation else { return Ok(()) };
        let class = &snapshot.classes[reservation.class];
        for &(machine, count) in &reservation.machines {
            let needed = f64::from(count) * class.need.cpus;
            let free = free_cpus_at(&snapshot, &plan, machine, reservation.at, reservation.class);
            prop_assert!(
                free + CPU_TOLERANCE >= needed,
                "the reserved machine has no capacity when the reservation begins"
            );
            let backfilled = backfilled_cpus(&snapshot, &plan, machine, reservation);
            prop_assert!(free - backfilled + CPU_TOLERANCE >= needed, "backfill delays the reservation");
        }
        if class.gang || class.one_zone || class.spread {
            return Ok(());
        }
        // No machine has capacity for a task at an earlier change.
        for (index, machine) in snapshot.machines.iter().enumerate().filter(|(_, m)| may_reserve(class, m)) {
            for at in change_times(machine).filter(|at| *at < reservation.at) {
                let free = free_cpus_at(&snapshot, &plan, index, at, reservation.class);
                prop_assert!(
                    free + CPU_TOLERANCE < class.need.cpus,
                    "the machine has capacity at {:?}, before the reservation", at
                );
            }
        }
    }
}

/// Guards against a reservation of a spot instance that the cloud is about to reclaim.
#[test]
fn a_reservation_leaves_out_machines_with_an_interruption_notice() {
    let full_until = |end: Micros, machine: MachineSnapshot| {
        let task = PlacedTask { remaining: end, ..running_task(4.0, Priority::Normal) };
        machine_with_tasks(machine, vec![task])
    };
    let reserved = |reclaimed_in: Option<Micros>| {
        let spot = MachineSnapshot { spot: true, reclaimed_in, ..empty_machine(4.0) };
        let snapshot = Snapshot {
            zone_count: 1,
            machines: vec![full_until(secs(10), spot), full_until(secs(30), empty_machine(4.0))],
            classes: vec![class(1, 20, 5)],
            teams: vec![TeamUse::default()],
            reserved_headroom: vec![None],
            reserve: true,
            ..Snapshot::default()
        };
        plan(&snapshot).reservation.map(|reservation| (reservation.at, reservation.machines))
    };
    assert_eq!(reserved(None), Some((secs(10), vec![(0, 1)])));
    // The machine is reclaimed long after the task would end. It is left out all the same, since the start
    // may be delayed.
    assert_eq!(reserved(Some(secs(1000))), Some((secs(30), vec![(1, 1)])));
}
