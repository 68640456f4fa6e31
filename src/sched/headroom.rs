//! Reserved headroom: capacity that lower priorities leave free on machine types that larger tasks of higher
//! priority need.

use super::resources::Resources;
use super::snapshot::{MachineSnapshot, ReservedHeadroom, Snapshot};

/// By machine: the resources that lower priorities may still take without using the headroom reserved there;
/// `None` where no headroom is kept free. Headroom is kept free on the first `Snapshot::headroom_machines`
/// machines of each type that fit a task of the headroom's size now and have no interruption notice.
pub(super) fn free_beside_headroom(snapshot: &Snapshot) -> Vec<Option<Resources>> {
    let mut machines_of_type = vec![0usize; snapshot.reserved_headroom.len()];
    let free_beside = |machine: &MachineSnapshot| {
        let headroom = snapshot.headroom_for(machine.machine_type, machine.spot)?;
        let machines_with_headroom = &mut machines_of_type[machine.machine_type];
        let is_usable = machine.free.fits(&headroom.need) > 0 && machine.reclaimed_in.is_none();
        if *machines_with_headroom >= snapshot.headroom_machines || !is_usable {
            return None;
        }
        *machines_with_headroom += 1;
        Some(capacity_beside_headroom(machine, &headroom))
    };
    snapshot.machines.iter().map(free_beside).collect()
}

/// The machine's total resources without the headroom and the placed tasks of lower priority than it is for.
fn capacity_beside_headroom(machine: &MachineSnapshot, headroom: &ReservedHeadroom) -> Resources {
    let lower = machine.placed.iter().filter(|task| task.priority < headroom.priority);
    lower.fold(machine.total.minus(&headroom.need, 1), |free, task| free.minus(&task.need, 1))
}

/// The machine's total resources without the replicas placed on it, which do not end by themselves.
pub(super) fn capacity_beside_replicas(machine: &MachineSnapshot) -> Resources {
    let replicas = machine.placed.iter().filter(|task| task.is_replica);
    replicas.fold(machine.total, |free, task| free.minus(&task.need, 1))
}
