//! Periodic maintenance of the fleet: lease expiry, removal of outdated entries, log lines about recovery and
//! utilization, and a new plan if one is due.

use std::collections::BTreeMap;

use super::Fleet;
use crate::time::{Micros, Steady, Wall};
use crate::wire::TaskStage;

/// Minimum time between two logs of machine utilization, the queue and wait reasons.
const UTILIZATION_LOG_INTERVAL: Micros = Micros(15_000_000);

/// How long the id of a removed machine is kept, so that late heartbeats from it are refused.
const REMOVED_MACHINE_RETENTION: Micros = Micros(900_000_000);

/// Minimum number of processors to divide by, so that a machine type without processors causes no division by
/// zero.
const MIN_CPUS: f64 = 0.1;

/// Use of all machines of one type and kind (spot or on-demand).
#[derive(Default)]
struct Utilization {
    machines: u32,
    booting: u32,
    idle: u32,
    cpus: f64,
    /// Processors of the tasks that are running on the machines or may be running on them.
    placed_cpus: f64,
    /// Processors of the tasks that the latest heartbeats show as running.
    running_cpus: f64,
}

impl Fleet {
    /// Does the work that is due at `now`: expires leases, marks machines for scale in that stay silent or
    /// never come up, writes the periodic log lines, removes outdated entries, and plans anew if something
    /// changed.
    pub fn tick(&mut self, now: Steady, wall: Wall) {
        self.check_leases(now);
        self.log_failover_progress(now);
        self.log_recovery(now);
        if now - self.log_state.machine_use_at > UTILIZATION_LOG_INTERVAL {
            self.log_state.machine_use_at = now;
            self.log_utilization();
            self.log_wait_reasons(now, wall);
        }
        self.removed_machines.retain(|_, removed_at| now - *removed_at < REMOVED_MACHINE_RETENTION);
        self.refused_offers.retain(|_, until| now < *until);
        self.forget_old_vacated_machines(now);
        self.replan(now, wall);
    }

    /// Logs when every machine of earlier leaders has acknowledged this leader's fencing token, has expired
    /// leases or was removed, and when that ceases to be so.
    fn log_failover_progress(&mut self, now: Steady) {
        if (self.unacknowledged_machines == 0) != self.log_state.all_acknowledged {
            self.log_state.all_acknowledged = self.unacknowledged_machines == 0;
            let after_s = (now - self.failover_at).secs();
            let unacknowledged = self.unacknowledged_machines;
            tracing::info!(
                after_s,
                unheard = unacknowledged,
                "all machines of the earlier leader heard or expired"
            );
        }
    }

    /// Logs the number of machines and the share of their processors that is used, by type and kind, and the
    /// number of jobs and waiting tasks.
    fn log_utilization(&self) {
        for ((type_name, spot), used) in self.utilization() {
            let (machines, booting, idle) = (used.machines, used.booting, used.idle);
            let placed = used.placed_cpus / used.cpus.max(MIN_CPUS);
            let running = used.running_cpus / used.cpus.max(MIN_CPUS);
            tracing::info!(
                ty = type_name,
                spot,
                machines,
                booting,
                idle,
                placed,
                running,
                "machine utilization"
            );
        }
        let waiting: u32 = self.plan.unplaced.iter().map(|(_, tasks)| tasks).sum();
        tracing::info!(jobs = self.jobs.len(), waiting, "queue");
    }

    /// The use of the machines, by type name and by whether they are spot instances.
    fn utilization(&self) -> BTreeMap<(&str, bool), Utilization> {
        let mut by_kind: BTreeMap<(&str, bool), Utilization> = BTreeMap::new();
        for machine in self.machines.values() {
            let used = by_kind.entry((&machine.type_name, machine.spot)).or_default();
            used.machines += 1;
            used.booting += u32::from(!machine.up);
            used.idle += u32::from(machine.up && machine.tasks.is_empty());
            used.cpus += machine.type_index.map_or(0.0, |index| self.type_capacity(index).cpus);
            for task in machine.tasks.values().filter(|task| task.is_live()) {
                let cpus = task.need.map_or(0.0, |need| need.cpus);
                used.placed_cpus += cpus;
                used.running_cpus += if task.stage == Some(TaskStage::Running) { cpus } else { 0.0 };
            }
        }
        by_kind
    }
}
