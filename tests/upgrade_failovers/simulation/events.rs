//! Simulated events other than a leader's writes: late transactions, users' requests, machines and task
//! results.

use milletlock::fleet::{Fleet, HeartbeatOutcome};
use milletlock::jobs::JobId;
use milletlock::leadership::SHARD_KEY;
use milletlock::time::Wall;
use milletlock::wire::{Change, Guard};
use rand::Rng;
use serde_json::json;

use super::{parse, SimulatedLeader, Simulation, TxnOutcome, WALL};
use crate::common::{heartbeat, spec};

impl Simulation {
    /// Delivers a late transaction. It must not be executed if a former leader sent it.
    pub fn deliver_late_transaction(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.late.len());
        let txn = self.late.remove(at);
        let is_of_current_leader =
            txn.guards.iter().any(|g| g.key == SHARD_KEY && g.mod_revision == self.shard_revision);
        self.coverage.late += usize::from(!is_of_current_leader);
        let outcome = self.submit(&txn);
        assert!(
            is_of_current_leader || !matches!(outcome, TxnOutcome::Applied(_)),
            "a late transaction of a former leader was executed: {txn:?}"
        );
    }

    /// Submits a job.
    pub fn submit_job(&mut self) {
        self.jobs += 1;
        let tasks =
            if self.chance(0.5) { self.rng.random_range(1..40) } else { self.rng.random_range(500..3000) };
        let spec = spec(self.jobs, tasks, "batch");
        let key = format!("job/{}", spec.id);
        let record = json!({ "spec": spec, "submitted_us": self.wall().0 });
        let mod_revision = self.must_apply(
            vec![Guard { key: key.clone(), mod_revision: 0 }],
            vec![Change::put(key, record.clone())],
        );
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.job_put(&parse(record), mod_revision),
            SimulatedLeader::Current(fleet) => fleet.apply_job_record(parse(record), mod_revision, self.now),
        }
    }

    /// Cancels a job. A leader of this version is informed later, by `receive_cancellations`.
    pub fn cancel_job(&mut self) {
        let Some(id) = self.random_job() else { return };
        let key = format!("job/{id}");
        let guard = Guard { key: key.clone(), mod_revision: self.store.mod_revision(&key) };
        let final_record = json!({ "stage": "cancelled", "tasks": 1 });
        let revision = self.must_apply(
            vec![guard],
            vec![Change::drop(key), Change::put(format!("final/{id}"), final_record)],
        );
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.job_over(&id),
            SimulatedLeader::Current(_) => self.cancellations.push((id, revision)),
        }
    }

    /// Informs the leader of the cancellations.
    fn receive_cancellations(&mut self) {
        let cancellations = std::mem::take(&mut self.cancellations);
        if let SimulatedLeader::Current(fleet) = &mut self.leader {
            cancellations.iter().for_each(|(id, revision)| fleet.apply_job_removal(id, *revision));
        }
    }

    /// Id of a random live job; `None` if there is none.
    fn random_job(&mut self) -> Option<String> {
        let jobs = || self.store.keys.keys().filter_map(|key| key.strip_prefix("job/"));
        let at = self.rng.random_range(0..jobs().count().max(1));
        jobs().nth(at).map(String::from)
    }

    /// Delivers the first heartbeat of a new machine.
    pub fn enroll_machine(&mut self) {
        self.machines += 1;
        let id = format!("i-{:05}", self.machines);
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.enrol(&id),
            SimulatedLeader::Current(fleet) => {
                let wall = Wall(WALL.0 + self.now.0);
                let reply = fleet.apply_heartbeat(&heartbeat(&id, 1, 0, &[]), self.now, wall);
                assert!(matches!(reply, HeartbeatOutcome::Reply(_)), "{reply:?}");
            }
        }
    }

    /// Returns a random enrolled machine to the cloud.
    pub fn return_machine(&mut self) {
        let at = self.rng.random_range(0..self.model.enrolled.len().max(1));
        let Some(id) = self.model.enrolled.iter().nth(at).cloned() else { return };
        self.model.enrolled.remove(&id);
        self.model.returned.insert(id.clone());
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.returned(&id),
            SimulatedLeader::Current(fleet) => fleet.remove_scaled_in_machines(&[id], self.now),
        }
    }

    /// Lets the leader want a higher start mark for a random job.
    pub fn raise_mark(&mut self) {
        let Some(id) = self.random_job() else { return };
        let mark = self.rng.random_range(1..3000);
        match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.raise(&id, mark),
            SimulatedLeader::Current(fleet) => {
                if let Some(job) = fleet.jobs.get_mut(id.as_str()) {
                    job.wanted_start_mark = job.wanted_start_mark.max(mark);
                }
            }
        }
    }

    /// Completes some tasks of a random job, sometimes all of them.
    pub fn finish_tasks(&mut self) {
        let Some(id) = self.random_job() else { return };
        let all = self.chance(0.15);
        let from = if all { 0 } else { self.rng.random_range(0..2500) };
        let count = if all { 3000 } else { self.rng.random_range(1..300) };
        let step = if all { 1 } else { self.rng.random_range(1..3) };
        let tasks = (from..from + count).step_by(step);
        match &mut self.leader {
            SimulatedLeader::Production(leader) => tasks.for_each(|task| leader.done(&id, task)),
            SimulatedLeader::Current(fleet) => finish_in_fleet(fleet, &id.as_str().into(), tasks),
        }
    }

    /// Runs a random event.
    pub fn next_event(&mut self) {
        match self.rng.random_range(0..14) {
            0..=3 => (0..8).for_each(|_| self.enroll_machine()),
            4 => self.return_machine(),
            5..=6 => (0..5).for_each(|_| self.submit_job()),
            7 => self.cancel_job(),
            8..=9 => (0..5).for_each(|_| self.raise_mark()),
            10..=11 => self.finish_tasks(),
            12 => self.receive_cancellations(),
            _ => self.deliver_late_transaction(),
        }
    }
}

/// Marks tasks of a job as done in a fleet of this version.
fn finish_in_fleet(fleet: &mut Fleet, id: &JobId, tasks: impl Iterator<Item = u32>) {
    let Some(job) = fleet.jobs.get_mut(id) else { return };
    for task in tasks.filter(|&task| task < job.spec.tasks).collect::<Vec<_>>() {
        job.done.insert(task);
        job.waiting.remove(task);
    }
}
