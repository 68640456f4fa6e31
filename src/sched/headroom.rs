//! Reserved headroom: capacity that lower priorities leave free on machine types that larger tasks of
//! higher priority need.

use super::resources::Resources;
use super::snapshot::{MachineSnapshot, ReservedHeadroom, Snapshot};

/// By machine: the resources that lower priorities may still take beside the headroom reserved there;
/// none where no headroom is kept free. Of each type, the first `Snapshot::headroom_machines` machines
/// that could take a task of the headroom's size keep it free.
pub(super) fn free_beside_headroom(snapshot: &Snapshot) -> Vec<Option<Resources>> {
    let mut machines_of_type = vec![0usize; snapshot.reserved_headroom.len()];
    let beside = |machine: &MachineSnapshot| {
        let headroom = snapshot.headroom_for(machine.machine_type, machine.spot)?;
        let so_far = &mut machines_of_type[machine.machine_type];
        let is_usable = machine.free.fits(&headroom.need) > 0 && machine.reclaimed_in.is_none();
        if *so_far >= snapshot.headroom_machines || !is_usable {
            return None;
        }
        *so_far += 1;
        Some(capacity_beside_headroom(machine, &headroom))
    };
    snapshot.machines.iter().map(beside).collect()
}

/// All that the machine has, minus its headroom and the placed tasks of lower priority.
fn capacity_beside_headroom(machine: &MachineSnapshot, headroom: &ReservedHeadroom) -> Resources {
    let lower = machine.placed.iter().filter(|task| task.priority < headroom.priority);
    lower.fold(machine.total.minus(&headroom.need, 1), |free, task| free.minus(&task.need, 1))
}

/// All that the machine has, minus the replicas placed on it, which do not end.
pub(super) fn capacity_beside_replicas(machine: &MachineSnapshot) -> Resources {
    let replicas = machine.placed.iter().filter(|task| task.is_replica);
    replicas.fold(machine.total, |free, task| free.minus(&task.need, 1))
}
