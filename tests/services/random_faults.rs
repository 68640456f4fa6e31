//! Services under random faults: no replica runs twice, and after the faults all replicas run.

use milletlock::wire::ExitReason;

use crate::cluster::{array, secs, service, SimulatedCluster, START};

/// A small pseudo-random number generator (xorshift).
struct Random(u64);

impl Random {
    /// A number below a bound.
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }

    /// One element of a list.
    fn one_of<'a, T>(&mut self, list: &'a [T]) -> &'a T {
        &list[self.below(list.len())]
    }
}

/// Injects one fault.
fn inject_fault(cluster: &mut SimulatedCluster, random: &mut Random) {
    let machines: Vec<String> = cluster.workers.keys().cloned().collect();
    let machine = random.one_of(&machines).clone();
    match random.below(6) {
        0 | 1 => {
            let services: Vec<String> = cluster.services.iter().cloned().collect();
            let service = random.one_of(&services).clone();
            let reason = *random.one_of(&[
                ExitReason::Done,
                ExitReason::Error,
                ExitReason::UnknownTask,
                ExitReason::Other,
                ExitReason::Stopped,
            ]);
            if let Some((_, machine)) = cluster.running_tasks(&service).first().cloned() {
                cluster.end_task(&machine, &service, reason);
            }
        }
        2 => {
            // The reply to the heartbeat is lost, with all its commands.
            cluster.send_heartbeat(&machine);
        }
        3 => {
            let time = secs(random.below(60) as f64);
            cluster.partition(&machine, time);
        }
        4 => cluster.send_spot_notice(&machine, secs(10.0 + random.below(20) as f64)),
        _ => {
            let array = *random.one_of(&["wk-000010", "wk-000011"]);
            cluster.cancel(array);
        }
    }
}

/// Removes the machines that the cloud has reclaimed or that the leader scales in, and adds a new machine
/// for each.
fn replace_machines(cluster: &mut SimulatedCluster, next: &mut u32) {
    let reclaimed =
        cluster.workers.iter().filter(|entry| entry.1.reclaimed_at.is_some_and(|at| at <= cluster.now));
    let mut removed: Vec<String> = reclaimed.map(|entry| entry.0.clone()).collect();
    removed.extend(cluster.fleet.machines_to_scale_in());
    for machine in removed {
        cluster.remove_machine(&machine);
        *next += 1;
        cluster.add_machine(&format!("new-{next:03}"), "south");
    }
}

/// Guards against sequences of faults after which a replica runs on two machines, or never again on any.
#[test]
fn under_random_faults_no_replica_runs_twice_and_afterwards_all_replicas_run() {
    for seed in 1..=12u64 {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut cluster = SimulatedCluster::new(&["a", "b", "c", "d", "e", "f"]);
        let mut machines_added = 0;
        for (number, replicas) in [(1, 3), (2, 4), (3, 2), (4, 2)] {
            cluster.submit(service(number, replicas));
        }
        for number in [10, 11, 12] {
            cluster.submit(array(number, 40));
            cluster.runs_for.insert(format!("wk-{number:06}"), secs(20.0));
        }
        for step in 0..400 {
            if random.below(8) == 0 {
                inject_fault(&mut cluster, &mut random);
            }
            if step == 200 {
                cluster.cancel("wk-000004");
                cluster.services.remove("wk-000004");
            }
            replace_machines(&mut cluster, &mut machines_added);
            cluster.step();
        }
        for worker in cluster.workers.values_mut() {
            (worker.reclaimed_at, worker.partitioned_until) = (None, START);
        }
        for _ in 0..300 {
            replace_machines(&mut cluster, &mut machines_added);
            cluster.step();
        }
        for (number, replicas) in [(1, 3), (2, 4), (3, 2), (4, 0)] {
            let running_tasks = cluster.running_tasks(&format!("wk-{number:06}"));
            assert_eq!(running_tasks.len(), replicas, "seed {seed}, service {number}: {running_tasks:?}");
        }
    }
}
