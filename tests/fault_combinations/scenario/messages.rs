//! Heartbeats, direct commands and their replies. The links of the workers determine which of them arrive.

use milletlock::fleet::HeartbeatOutcome;
use milletlock::time::Micros;
use milletlock::wire::{Heartbeat, HeartbeatReply, TaskStage, WorkerCommand};

use super::{Link, Scenario};
use crate::common::clock::{at, wall};
use crate::common::worker::{job_of, Task};

/// Interval between the heartbeats of a worker, in seconds.
const HEARTBEAT_S: f64 = 3.0;
/// Time in seconds after which a worker sends another heartbeat if one was refused or reached no leader.
const RETRY_S: f64 = 1.0;

impl Scenario {
    /// Returns whether a leader runs and the partition lets messages from a zone reach it.
    pub fn is_connected(&self, zone: &str, leader: usize) -> bool {
        let o = &self.leaders[leader];
        o.alive && self.partitioned_zone.is_none_or(|z| (zone == z) == (o.zone == Some(z)))
    }

    /// Lets a worker execute a direct command with a fencing token. Returns the reply, which is a heartbeat.
    pub fn command(&mut self, worker: &str, fencing_token: u64, agent_epoch: u64) -> Heartbeat {
        let w = self.worker(worker);
        let before = w.state.fencing_token;
        w.changed |= w.state.accept_command(fencing_token, agent_epoch) && fencing_token > before;
        w.state.heartbeat()
    }

    /// Sends each leader's fencing token to its unacknowledged machines, by direct commands.
    pub fn send_token_commands(&mut self) {
        for i in 0..self.leaders.len() {
            if !self.leaders[i].alive {
                continue;
            }
            let fencing_token = self.leaders[i].controller.fleet.fencing_token;
            for due in self.leaders[i].controller.fleet.fencing_token_commands(at(self.seconds)) {
                let (id, agent_epoch) = (due.machine, due.agent_epoch);
                let Some(w) = self.workers.iter().find(|w| w.state.id == *id) else { continue };
                if !matches!(w.link, Link::Up | Link::CommandsOnly) || !self.is_connected(w.state.zone, i) {
                    continue;
                }
                let r = self.command(&id, fencing_token, agent_epoch);
                if self.leaders[i].controller.fleet.apply_direct_command_reply(&r, at(self.seconds)).is_some()
                {
                    self.end_leader(i);
                    break;
                }
            }
        }
    }

    /// Sends the due heartbeats of all workers, and the replies to them.
    pub fn exchange_heartbeats(&mut self) {
        for w in 0..self.workers.len() {
            self.send_heartbeat(w);
        }
    }

    /// Sends a worker's heartbeat if it is due. It goes to the leader of the worker's last heartbeat, or to
    /// another leader if that one cannot be reached.
    fn send_heartbeat(&mut self, w: usize) {
        let (due, changed) = (self.workers[w].due, self.workers[w].changed);
        if self.seconds < due && !changed {
            return;
        }
        let r = self.workers[w].state.heartbeat();
        (self.workers[w].changed, self.workers[w].due) = (false, self.seconds + HEARTBEAT_S);
        if !matches!(self.workers[w].link, Link::Up | Link::HeartbeatsOnly) {
            return;
        }
        let reached = |o: &usize| self.is_connected(self.workers[w].state.zone, *o) && self.may_reply(*o);
        let known = Some(self.workers[w].leader).filter(|o| *o < self.leaders.len() && reached(o));
        let Some(leader) = known.or_else(|| (0..self.leaders.len()).rev().find(reached)) else {
            self.workers[w].due = self.seconds + RETRY_S;
            return;
        };
        self.workers[w].leader = leader;
        match self.leaders[leader].controller.fleet.apply_heartbeat(&r, at(self.seconds), wall(self.seconds))
        {
            HeartbeatOutcome::Reply(reply) if self.workers[w].link == Link::Up => {
                self.execute_commands(w, &reply)
            }
            HeartbeatOutcome::Reply(_) => {}
            HeartbeatOutcome::Superseded(_) => {
                self.end_leader(leader);
                self.workers[w].due = self.seconds + RETRY_S;
            }
            HeartbeatOutcome::Refuse => {
                (self.workers[w].leader, self.workers[w].due) =
                    (self.leaders.len() - 1, self.seconds + RETRY_S);
            }
        }
    }

    /// Lets a worker execute the commands of a reply.
    pub fn execute_commands(&mut self, w: usize, reply: &HeartbeatReply) {
        let (s, worker) = (self.seconds, &mut self.workers[w]);
        let before = worker.state.fencing_token;
        if !worker.state.accept_reply(reply.fencing_token, at(s)) {
            return;
        }
        worker.changed |= reply.fencing_token > before;
        for command in &reply.commands {
            let worker = &mut self.workers[w];
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if worker.state.tasks.contains_key(&key) {
                        continue;
                    }
                    self.check_start(w, task);
                    let run_time = self.run_times.get(task).or(self.run_times.get(job_of(task)));
                    let run_time = *run_time.expect("a run time");
                    let t = Task::new(TaskStage::Fetching, Micros::from_secs(run_time), at(s));
                    self.workers[w].state.tasks.insert(key, t);
                    *self.starts.entry(task.clone()).or_insert(0) += 1;
                    self.started_at.entry(job_of(task).into()).or_insert(s);
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    worker.changed |= worker.state.halt(task, *attempt)
                }
                WorkerCommand::Forget { task, attempt } => {
                    worker.state.forget(task, *attempt);
                    worker.changed = true;
                }
            }
        }
    }
}
