//! A simulated worker that sends heartbeats to the controllers of its cell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use milletlock::http::{Client, ClientResponse};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{ExitReason, Heartbeat, HeartbeatReply, TaskStage, TaskStatus, WorkerCommand};

use super::super::worker::{Attempt, Task, WorkerState};
use super::history::History;
use super::{lock, LEASE_S};

/// The interval of heartbeats if nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The interval at which a worker checks whether it must send a heartbeat.
const WORKER_STEP: Duration = Duration::from_millis(40);

/// A simulated worker. It sends heartbeats to one controller of its cell, and changes to the next controller
/// if that one does not accept them.
pub struct Worker {
    /// Index of the worker's cell.
    pub cell: usize,
    /// The worker's state according to the protocol.
    pub state: WorkerState,
    /// The time when each running attempt ends.
    pub ends: BTreeMap<Attempt, Instant>,
    /// The run time of each task.
    pub task_time: Duration,
    pub history: Arc<Mutex<History>>,
}

impl Worker {
    /// Runs until the test ends or the machine is removed.
    pub fn run(mut self, controllers: &[SocketAddr], stop: &AtomicBool) {
        let started = Instant::now();
        let lease = Micros::from_secs(LEASE_S);
        let now = || Steady(started.elapsed().as_micros() as i64);
        let (mut controller, mut sent_at, mut changed) = (0, Instant::now(), true);
        while !stop.load(Ordering::Relaxed) && !lock(&self.history).removed_machines.contains(&self.state.id)
        {
            changed |= self.finish_tasks(now());
            changed |= self.end_session(lease, now());
            if changed || sent_at.elapsed() > HEARTBEAT_INTERVAL {
                let heartbeat = self.state.heartbeat();
                let body = serde_json::to_vec(&heartbeat).expect("a heartbeat");
                sent_at = Instant::now();
                let client = Client::new(controllers[controller], 0);
                let sent = now();
                let response = client.call("POST", "/checkin", Some(&body), Micros::from_secs(4.0));
                changed = match response {
                    Ok(ClientResponse { status: 200, body }) => {
                        let reply: HeartbeatReply = serde_json::from_slice(&body).expect("a reply");
                        self.record_reply(&heartbeat, Some(reply.fencing_token));
                        self.execute(&reply, sent, now())
                    }
                    Ok(ClientResponse { status: 421, .. }) => {
                        self.record_reply(&heartbeat, None);
                        controller = (controller + 1) % controllers.len();
                        true
                    }
                    _ => {
                        controller = (controller + 1) % controllers.len();
                        true
                    }
                };
            }
            std::thread::sleep(WORKER_STEP);
        }
    }

    /// Records whether a heartbeat, with the results that it lists, was accepted (with the leader's fencing
    /// token) or redirected.
    fn record_reply(&self, heartbeat: &Heartbeat, fencing_token: Option<u64>) {
        let is_done = |task: &&TaskStatus| task.exit_reason == Some(ExitReason::Done);
        let done = heartbeat.tasks.iter().filter(is_done).map(|task| task.task.as_str());
        lock(&self.history).record_heartbeat_reply(self.cell, fencing_token, done);
    }

    /// Kills all tasks if the worker's lease has expired. Returns whether it has.
    fn end_session(&mut self, lease: Micros, now: Steady) -> bool {
        if !self.state.end_session_after(lease, now) {
            return false;
        }
        let mut history = lock(&self.history);
        history.killed_by_lease += self.ends.len();
        for attempt in std::mem::take(&mut self.ends).into_keys() {
            history.running.remove(&(self.cell, attempt));
        }
        true
    }

    /// Ends the tasks whose run time is over. Returns whether there are any.
    fn finish_tasks(&mut self, now: Steady) -> bool {
        let early = lock(&self.history).ended_early.clone();
        let ended: Vec<Attempt> = self
            .ends
            .iter()
            .filter(|(attempt, end)| **end < Instant::now() || early.contains(&attempt.0))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in &ended {
            self.ends.remove(attempt);
            if let Some(task) = self.state.tasks.get_mut(attempt) {
                task.enter(TaskStage::Exited, Some(ExitReason::Done), now);
            }
            let mut history = lock(&self.history);
            if history.running.remove(&(self.cell, attempt.clone())).is_none() {
                continue;
            }
            history.record_exit(&attempt.0, self.cell);
        }
        !ended.is_empty()
    }

    /// Executes the commands of a reply. Returns whether any were executed.
    fn execute(&mut self, reply: &HeartbeatReply, sent: Steady, now: Steady) -> bool {
        if !self.state.accept_reply(reply.fencing_token, sent) {
            return false;
        }
        let received = Instant::now();
        lock(&self.history).commands.extend(reply.commands.iter().map(|command| (received, command.clone())));
        for command in &reply.commands {
            match command {
                WorkerCommand::Start { task, attempt } => self.start((task.clone(), *attempt), now),
                WorkerCommand::Halt { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    self.state.halt(task, *attempt);
                    self.ends.remove(&key);
                    lock(&self.history).running.remove(&(self.cell, key));
                }
                WorkerCommand::Forget { task, attempt } => self.state.forget(task, *attempt),
            }
        }
        !reply.commands.is_empty()
    }

    /// Starts an attempt of a task. Panics if another attempt of the task is on a machine.
    fn start(&mut self, attempt: Attempt, now: Steady) {
        if self.state.tasks.contains_key(&attempt) {
            return;
        }
        self.state.tasks.insert(attempt.clone(), Task::new(TaskStage::Running, Micros::ZERO, now));
        self.ends.insert(attempt.clone(), Instant::now() + self.task_time);
        let mut history = lock(&self.history);
        let is_running = history.running.keys().any(|(_, other)| other.0 == attempt.0);
        assert!(!is_running, "{} starts while another attempt of it runs", attempt.0);
        history.started_attempts.entry(attempt.0.clone()).or_default().insert((self.cell, attempt.1));
        history.running.insert((self.cell, attempt), self.state.id.clone());
    }
}
