//! Scale out for replicas that no machine has capacity for.

use milletlock::capacity::{Autoscaler, MachineStatus, ScalingPolicy, WarmPool};
use milletlock::sched::{plan, JobClass, MachineSnapshot, Snapshot};
use milletlock::time::Micros;

use crate::builders::{machine, service, snapshot};
use crate::common::planner::{one_small_type, secs};

/// The machines added, as whether they are spot instances and how many they are, if `booting` machines of age
/// `age` are booting.
fn scale_out(classes: Vec<JobClass>, booting: usize, age: Micros) -> Vec<(bool, u32)> {
    let booting_machine =
        MachineSnapshot { accepts_starts: false, accepts_starts_in: secs(20), ..machine(8.0) };
    let snapshot =
        Snapshot { reserved_headroom: vec![None], ..snapshot(vec![booting_machine; booting], classes) };
    let plan = plan(&snapshot);
    let autoscaler = Autoscaler {
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
    autoscaler.decide().scale_out.iter().map(|item| (item.offer.spot, item.count)).collect()
}

/// Guards against a small service that waits forever, and against adding machines when booting ones will do.
#[test]
fn unplaced_replicas_scale_out_on_demand_machines_beyond_the_booting_ones() {
    assert_eq!(scale_out(vec![service(1)], 0, Micros::ZERO), [(false, 1)]);
    assert_eq!(scale_out(vec![service(9)], 0, Micros::ZERO), [(false, 2)]);
    assert_eq!(scale_out(vec![service(8)], 1, secs(10)), []);
    assert_eq!(scale_out(vec![service(9)], 1, secs(10)), [(false, 1)]);
    // Two services do not count on the same booting machine.
    assert_eq!(scale_out(vec![service(6), service(6)], 1, secs(10)), [(false, 1)]);
    // A machine that has been booting for much longer than usual does not count as capacity.
    assert_eq!(scale_out(vec![service(8)], 1, secs(100)), [(false, 1)]);
}
