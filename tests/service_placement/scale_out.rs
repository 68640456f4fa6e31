//! What is rented for replicas that no machine has capacity for.

use milletlock::capacity::{Autoscaler, MachineStatus, ScalingPolicy, WarmPool};
use milletlock::sched::{plan, JobClass, MachineSnapshot, Snapshot};
use milletlock::time::Micros;

use crate::builders::{machine, service, snapshot};
use crate::common::planner::{one_small_type, secs};

/// What is rented, by kind, with so many machines booting for so long.
fn scale_out(classes: Vec<JobClass>, booting: usize, age: Micros) -> Vec<(bool, u32)> {
    let closed = MachineSnapshot { accepts_starts: false, accepts_starts_in: secs(20), ..machine(8.0) };
    let snapshot = Snapshot { reserved_headroom: vec![None], ..snapshot(vec![closed; booting], classes) };
    let plan = plan(&snapshot);
    let view = Autoscaler {
        snapshot: &snapshot,
        plan: &plan,
        machine_status: &vec![MachineStatus { age, idle: None, booting: true }; booting],
        types: &one_small_type(),
        zones: &[vec![0]],
        refused: &[],
        warm_pools: &[WarmPool::default()],
        deadline_jobs_expected: &[false],
        policy: ScalingPolicy {
            drain_time: secs(40),
            idle_timeout: secs(20),
            deadline_idle_timeout: secs(60),
            warm_idle_timeout: secs(30),
            max_boot_factor: 1.6,
        },
    };
    view.decide().scale_out.iter().map(|rent| (rent.offer.spot, rent.count)).collect()
}

/// Guards against a small service that waits for ever, and against renting what is coming already.
#[test]
fn missing_replicas_rent_whole_ordinary_machines_beyond_those_that_boot() {
    assert_eq!(scale_out(vec![service(1)], 0, Micros::ZERO), [(false, 1)]);
    assert_eq!(scale_out(vec![service(9)], 0, Micros::ZERO), [(false, 2)]);
    assert_eq!(scale_out(vec![service(8)], 1, secs(10)), []);
    assert_eq!(scale_out(vec![service(9)], 1, secs(10)), [(false, 1)]);
    // Two services do not count on the same machine.
    assert_eq!(scale_out(vec![service(6), service(6)], 1, secs(10)), [(false, 1)]);
    // One that boots for much longer than usual is not counted on.
    assert_eq!(scale_out(vec![service(8)], 1, secs(100)), [(false, 1)]);
}
