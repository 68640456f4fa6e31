//! Adds machines that are scaled out, applies the cloud's list of machines, and removes machines that are
//! scaled in.

use std::collections::BTreeSet;

use super::machine::Machine;
use super::Fleet;
use crate::capacity::MachineOffer;
use crate::jobs::MachineId;
use crate::time::{Micros, Steady};
use crate::wire::ListedMachine;

/// The stage of a machine that failed to start, in the cloud's list of machines.
const FAILED_STAGE: &str = "failed";

/// Number of heartbeat intervals without a heartbeat after which a machine counts as silent.
const SILENT_INTERVALS: f64 = 3.0;

impl Fleet {
    /// Whether no heartbeat of a machine was answered during the last `SILENT_INTERVALS` heartbeat intervals.
    pub(super) fn is_silent(&self, machine: &Machine, now: Steady) -> bool {
        now - machine.heartbeat_at > self.heartbeat_interval().scale(SILENT_INTERVALS)
    }

    /// Number of machines that have not acknowledged this leader's fencing token, so that commands of an
    /// earlier leader may still reach them.
    pub fn unacknowledged_machines(&self) -> usize {
        self.unacknowledged_machines
    }

    /// Adds the machines that the cloud granted to this leader for an offer.
    pub fn add_scaled_out_machines(&mut self, ids: &[String], offer: MachineOffer, now: Steady) {
        let machine_type = self.catalog.types.get(offer.type_index);
        let type_name = machine_type.map(|machine_type| machine_type.name.clone()).unwrap_or_default();
        let zone = self.zone_name(offer.zone).to_string();
        for id in ids {
            let id: MachineId = id.as_str().into();
            if !self.machines.contains_key(&id) && !self.removed_machines.contains_key(&id) {
                self.machines.insert(id.clone(), Machine::new(&id, now));
                self.describe_machine(&id, "", &type_name, &zone, offer.spot);
            }
        }
        self.dirty = true;
    }

    /// Applies a list of machines from the cloud, which may be late and even older than the list applied
    /// before.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Steady) {
        let listed_ids: BTreeSet<&str> = list.iter().map(|listed| listed.id.as_str()).collect();
        for machine in self.machines.values_mut() {
            // A machine that an earlier leader registered was up at that time, so the cloud must have
            // listed it.
            let was_listed = machine.listed || (machine.inherited && !machine.acknowledged);
            if was_listed && !listed_ids.contains(&*machine.id) {
                machine.missing = true;
            }
        }
        for listed in list {
            self.apply_listed_machine(listed, now);
        }
        self.dirty = true;
    }

    /// Applies one entry of the cloud's list of machines.
    fn apply_listed_machine(&mut self, listed: &ListedMachine, now: Steady) {
        let id: MachineId = listed.id.as_str().into();
        if self.removed_machines.contains_key(&id) {
            return;
        }
        let has_failed = listed.stage == FAILED_STAGE;
        let age = Micros::from_secs(listed.age_s);
        if !self.machines.contains_key(&id) {
            if has_failed {
                return;
            }
            let mut machine = Machine::new(&id, now);
            machine.age_when_known = age;
            self.machines.insert(id.clone(), machine);
        }
        let address = listed.address.as_deref().unwrap_or("");
        self.describe_machine(&id, address, &listed.machine_type, &listed.zone, listed.spot);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.listed = true;
            machine.missing = has_failed;
            // A machine that an earlier leader scaled out is older than this leader's knowledge of it. With
            // its true age it can be scaled in as soon as it is idle; otherwise no machine could be scaled
            // in for a minute after a failover.
            machine.age_when_known = machine.age_when_known.max(age - (now - machine.known_since));
        }
    }

    /// Ids of the machines that are to be scaled in now.
    pub fn machines_to_scale_in(&self) -> Vec<String> {
        let scaling_in = self.machines.values().filter(|machine| machine.scaling_in);
        scaling_in.map(|machine| machine.id.to_string()).collect()
    }

    /// Removes machines after the cloud has confirmed that they have ended, so that nothing runs on them
    /// any more.
    pub fn remove_scaled_in_machines(&mut self, ids: &[String], now: Steady) {
        for id in ids {
            let id: MachineId = id.as_str().into();
            self.remove_all_tasks(&id);
            self.mark_machine_lost(&id, now);
            if let Some(machine) = self.machines.remove(&id) {
                if !machine.acknowledged {
                    self.unacknowledged_machines = self.unacknowledged_machines.saturating_sub(1);
                }
                self.cached_team_use.clear();
                self.machine_records.remove(&id);
                if machine.mod_revision > 0 {
                    self.cleanup.machine_records.insert(id.clone(), machine.mod_revision);
                }
                self.removed_machines.insert(id, now);
            }
        }
        self.dirty = true;
    }

    /// Removes all tasks of a machine on which no task can be running any more.
    pub(super) fn remove_all_tasks(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.sent_starts.clear();
        let tasks = std::mem::take(&mut machine.tasks);
        for (key, task) in tasks {
            if task.is_live() {
                self.task_lost(&key, id);
            }
        }
        self.dirty = true;
    }
}
