//! A simulated worker whose messages may be lost.

use milletlock::http::{Request, Response};
use milletlock::time::{Micros, Steady};
use milletlock::wire::{DirectCommandRequest, TaskStage, WorkerCommand};

use crate::common::spec;
use crate::common::worker::{Task, WorkerState};

/// A worker that receives direct commands on a port of its own. Its tasks run from the moment when they are
/// started. They end only by a halt or when the lease expires, because the tests need no other way.
pub struct Worker {
    pub state: WorkerState,
    /// When the next heartbeat is due, in microseconds.
    pub due: i64,
    /// The controller to which the worker sends its heartbeats.
    pub controller: usize,
    /// The machine is frozen until this time, in microseconds.
    pub frozen_until: i64,
    /// Whether heartbeats reach no controller, while direct commands reach the worker.
    pub heartbeats_lost: bool,
    /// Whether direct commands do not reach the worker, while its heartbeats reach the controllers.
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

    /// Executes the commands in a reply to a heartbeat or in a direct command.
    pub fn execute_commands(&mut self, commands: &[WorkerCommand], now: i64) {
        for command in commands {
            match command {
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

    /// Executes a direct command and returns the reply; none if the command does not arrive.
    pub fn command(&mut self, request: &Request, now: i64) -> Option<Response> {
        if now < self.frozen_until || self.commands_lost {
            return None;
        }
        let command: DirectCommandRequest = serde_json::from_slice(&request.body).expect("a command");
        if !self.state.accept_command(command.fencing_token, command.agent_epoch) {
            return Some(Response::json(409, &self.state.heartbeat()));
        }
        self.execute_commands(&command.commands, now);
        Some(Response::json(200, &self.state.heartbeat()))
    }

    /// Number of tasks of a job on this machine.
    pub fn placed(&self, job_number: u32) -> usize {
        self.state.placed_of(&spec(job_number, 1, "batch").id)
    }
}
