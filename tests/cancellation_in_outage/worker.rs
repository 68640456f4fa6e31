//! A simulated worker; its messages may be lost.

use milletlock::http::{Request, Response};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{DirectCommandRequest, TaskStage, WorkerCommand};

use crate::common::spec;
use crate::common::worker::{Task, WorkerState};

/// A worker; commands come to a port of its own. Its tasks run from the moment they are started, and end
/// only by a halt or with the lease: no other end matters here.
pub struct Worker {
    pub state: WorkerState,
    pub due: i64,
    /// The controller to which it sends heartbeats.
    pub controller: usize,
    pub frozen_until: i64,
    /// It reaches no controller, while commands reach it.
    pub heartbeats_lost: bool,
    /// Commands do not reach it, while it reaches controllers.
    pub commands_lost: bool,
}

impl Worker {
    /// A worker in its first session.
    pub fn new(id: &str, now: i64) -> Worker {
        let state = WorkerState::new(id.into(), "north", Steady(now));
        Worker {
            state,
            due: now,
            controller: 0,
            frozen_until: 0,
            heartbeats_lost: false,
            commands_lost: false,
        }
    }

    /// Executes the commands of a reply or of a direct command.
    pub fn execute_commands(&mut self, commands: &[WorkerCommand], now: i64) {
        for o in commands {
            match o {
                WorkerCommand::Start { task, attempt } => {
                    let running = Task::new(TaskStage::Running, Micros::ZERO, Steady(now));
                    self.state.tasks.insert((task.clone(), *attempt), running);
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    self.state.halt(task, *attempt);
                }
                WorkerCommand::Forget { task, attempt } => self.state.forget(task, *attempt),
            }
        }
    }

    /// The reply to a direct command; none if the command does not arrive.
    pub fn command(&mut self, r: &Request, now: i64) -> Option<Response> {
        if now < self.frozen_until || self.commands_lost {
            return None;
        }
        let c: DirectCommandRequest = serde_json::from_slice(&r.body).expect("a command");
        if !self.state.accept_command(c.fencing_token, c.agent_epoch) {
            return Some(Response::json(409, &self.state.heartbeat()));
        }
        self.execute_commands(&c.commands, now);
        Some(Response::json(200, &self.state.heartbeat()))
    }

    /// How many tasks of a job are there.
    pub fn placed(&self, n: u32) -> usize {
        self.state.placed_of(&spec(n, 1, "batch").id)
    }
}
