//! A leader with a few machines that all send heartbeats at the same time and run every task that is started
//! on them.

use std::sync::Arc;

use super::fleet_writes::acknowledge_writes;
use super::{config, heartbeat, record, types};
use milletlock::capacity::MachineOffer;
use milletlock::config::Config;
use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::jobs::MachineId;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Heartbeat, JobSpec, TaskStage, WorkerCommand};

/// Time between two heartbeats of a machine in the test settings.
const HEARTBEAT_INTERVAL: Micros = Micros(3_000_000);

/// A leader with machines of the type `small`, all of which send a heartbeat every three seconds.
pub struct Scenario {
    pub fleet: Fleet,
    pub now: Steady,
    pub sequence: u64,
    pub machines: Vec<String>,
}

impl Scenario {
    pub fn new(machines: usize, spot: bool) -> Scenario {
        Scenario::with_config(config(), machines, spot)
    }

    /// A scenario with other settings.
    pub fn with_config(config: Arc<Config>, machines: usize, spot: bool) -> Scenario {
        let now = Steady(1_000_000_000);
        let mut fleet = Fleet::new(config, types(), 7, now);
        let machines: Vec<String> = (0..machines).map(|n| format!("i-{n:03}")).collect();
        fleet.add_scaled_out_machines(&machines, MachineOffer { type_index: 0, zone: 0, spot }, now);
        let mut scenario = Scenario { fleet, now, sequence: 0, machines };
        scenario.step(&[]);
        scenario
    }

    /// Adds on-demand machines in a zone.
    pub fn add_on_demand(&mut self, machines: usize, zone: usize) {
        let added: Vec<String> = (0..machines).map(|n| format!("j-{n:03}")).collect();
        self.fleet.add_scaled_out_machines(
            &added,
            MachineOffer { type_index: 0, zone, spot: false },
            self.now,
        );
        self.machines.extend(added);
    }

    pub fn submit(&mut self, job: JobSpec) {
        let mut record = record(job);
        record.submitted_us = self.now.0;
        self.fleet.apply_job_record(record, self.fleet.jobs.len() as u64 + 1, self.now);
    }

    /// Advances the time by one heartbeat interval. All machines except the silent ones send a heartbeat
    /// that lists their tasks as running.
    pub fn step(&mut self, silent: &[&str]) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.fleet.tick(self.now, Wall(self.now.0));
        acknowledge_writes(&mut self.fleet, 64, 1_000_000, self.now);
        for id in self.machines.clone() {
            if !silent.contains(&id.as_str()) {
                let message = self.running_heartbeat(&id);
                self.send_heartbeat(&message);
            }
        }
    }

    /// The next heartbeat of a machine, on which all started tasks are running.
    pub fn running_heartbeat(&mut self, id: &str) -> Heartbeat {
        self.sequence += 1;
        let started: Vec<(String, u64)> = self.tasks(id);
        let tasks: Vec<_> = started
            .iter()
            .map(|(task, attempt)| (task.as_str(), *attempt, TaskStage::Running, None))
            .collect();
        Heartbeat { spot: true, ..heartbeat(id, self.sequence, 7, &tasks) }
    }

    pub fn tasks(&self, id: &str) -> Vec<(String, u64)> {
        let id: MachineId = Arc::from(id);
        let tasks = &self.fleet.machines[&id].tasks;
        tasks.keys().map(|key| (format!("{}/{}", key.job, key.number), key.attempt)).collect()
    }

    pub fn send_heartbeat(&mut self, message: &Heartbeat) -> Vec<WorkerCommand> {
        match self.fleet.apply_heartbeat(message, self.now, Wall(self.now.0)) {
            HeartbeatOutcome::Reply(reply) => reply.commands,
            other => panic!("{other:?}"),
        }
    }

    /// Advances the time until one of the silent machines is to be scaled in, by at most `max` heartbeat
    /// intervals; returns after how many intervals that was.
    pub fn steps_until_scaled_in(&mut self, silent: &[&str], max: usize) -> Option<usize> {
        (1..=max).find(|_| {
            self.step(silent);
            self.fleet.machines_to_scale_in().iter().any(|id| silent.contains(&id.as_str()))
        })
    }
}
