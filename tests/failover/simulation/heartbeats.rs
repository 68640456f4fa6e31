//! Heartbeats, direct commands and their replies, which may be lost, late or duplicated.

use milletlock::fleet::HeartbeatOutcome;
use milletlock::time::Micros;
use milletlock::wire::{Heartbeat, HeartbeatReply};
use rand::Rng;

use super::{Command, Simulation};
use crate::common::clock::wall_at;
use crate::common::store::take_due;

/// How long a worker waits for the reply to a heartbeat.
const REPLY_TIMEOUT: Micros = Micros(4_000_000);

impl Simulation {
    /// Delivers a heartbeat to a leader; returns the leader's reply. A leader that sees a higher fencing
    /// token in the heartbeat is removed.
    pub(super) fn deliver(&mut self, leader_index: usize, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let now = self.now;
        if !self.may_reply(leader_index) {
            return None;
        }
        match self.leaders[leader_index].controller.fleet.apply_heartbeat(heartbeat, now, wall_at(now)) {
            HeartbeatOutcome::Reply(reply) => Some(reply),
            HeartbeatOutcome::Superseded(_) => {
                self.leaders.remove(leader_index);
                None
            }
            HeartbeatOutcome::Refuse => None,
        }
    }

    /// All workers receive replies and send heartbeats. Then late heartbeats and late transactions arrive.
    pub(super) fn exchange_heartbeats(&mut self) {
        for worker_index in 0..self.workers.len() {
            self.exchange_heartbeat(worker_index);
        }
        self.deliver_late_heartbeats();
        self.apply_late_transactions();
    }

    /// Delivers copies of heartbeats and delayed heartbeats to some leader.
    fn deliver_late_heartbeats(&mut self) {
        let now = self.now;
        let ready = take_due(&mut self.late_heartbeats, now);
        let newest =
            self.leaders.last().map(|leader| (leader.controller.fleet.fencing_token, leader.last_read));
        let (arriving, still_delayed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_heartbeats)
            .into_iter()
            .partition(|h| newest.is_some_and(|n| n.0 > h.0) && self.rng.random_bool(0.05));
        self.delayed_heartbeats = still_delayed;
        self.faults_occurred += arriving.len() as u32;
        for heartbeat in ready.into_iter().chain(arriving.into_iter().map(|h| h.1)) {
            // The reply is dropped, because the worker no longer waits for it.
            let Some(last) = self.leaders.len().checked_sub(1) else { continue };
            let leader_index = if self.chance(0.2) { self.rng.random_range(0..=last) } else { last };
            let _ = self.deliver(leader_index, &heartbeat);
        }
    }

    /// Executes the late transactions that are due. Their senders have received no reply.
    fn apply_late_transactions(&mut self) {
        if self.state_store_unavailable() {
            return;
        }
        for txn in take_due(&mut self.late_transactions, self.now) {
            let _ = self.store.txn(&txn);
        }
    }

    /// A worker accepts a reply that has arrived, and sends its next heartbeat if one is due.
    fn exchange_heartbeat(&mut self, worker_index: usize) {
        if self.now < self.workers[worker_index].frozen_until
            || self.now < self.workers[worker_index].partitioned_until
        {
            return;
        }
        if let Some((at, sent, agent_epoch, reply)) = self.workers[worker_index].reply.take() {
            if self.now < at {
                self.workers[worker_index].reply = Some((at, sent, agent_epoch, reply));
                return;
            }
            // The worker drops replies to an earlier session and replies that took too long.
            let replies_lost = self.now < self.workers[worker_index].replies_lost_until;
            if agent_epoch == self.workers[worker_index].state.agent_epoch
                && self.now - sent <= REPLY_TIMEOUT
                && !replies_lost
            {
                self.execute_reply(worker_index, &reply, sent);
            }
        }
        if self.now < self.workers[worker_index].due {
            return;
        }
        let heartbeat = self.workers[worker_index].state.heartbeat();
        self.workers[worker_index].due = self.later(0.5, 3.5);
        if self.leaders.is_empty()
            || self.now < self.workers[worker_index].heartbeats_lost_until
            || self.chance(0.05)
        {
            return;
        }
        if self.chance(0.04) {
            let at = self.later(1.0, 60.0);
            self.late_heartbeats.push((at, heartbeat));
            return;
        }
        if self.chance(self.faults.delayed_heartbeats) {
            let newest = self.leaders.last().map_or(0, |leader| leader.controller.fleet.fencing_token);
            self.delayed_heartbeats.push((newest, heartbeat));
            return;
        }
        if self.chance(self.faults.duplicate_heartbeats) {
            // Half of the copies arrive soon, the others up to three leases later.
            let at = if self.chance(0.5) { self.later(0.5, 10.0) } else { self.later(10.0, 66.0) };
            self.late_heartbeats.push((at, heartbeat.clone()));
            self.faults_occurred += 1;
        }
        let Some(leader_index) = self.reached_leader(worker_index) else { return };
        let Some(reply) = self.deliver(leader_index, &heartbeat) else { return };
        if self.chance(0.05) {
            let again = self.deliver(leader_index, &heartbeat);
            assert!(
                again.is_none_or(|again| again.commands.is_empty()),
                "the reply to a copy contained commands"
            );
        }
        if self.chance(0.05) || self.now < self.workers[worker_index].replies_lost_until {
            return;
        }
        if self.chance(self.faults.slow_replies) {
            let at = self.later(0.5, 4.5);
            let agent_epoch = self.workers[worker_index].state.agent_epoch;
            self.workers[worker_index].reply = Some((at, self.now, agent_epoch, reply));
            return;
        }
        let now = self.now;
        self.execute_reply(worker_index, &reply, now);
    }

    /// The newest leader sends its fencing token by direct command to unacknowledged machines. The commands
    /// may be executed late, and their replies may be late or lost.
    pub(super) fn send_token_commands(&mut self) {
        self.issue_commands();
        self.execute_commands();
        self.receive_command_replies();
    }

    /// The newest leader sends commands to unacknowledged machines.
    fn issue_commands(&mut self) {
        if let Some(leader) = self.leaders.last() {
            let fencing_token = leader.controller.fleet.fencing_token;
            let unacknowledged: Vec<(String, u64)> = leader
                .controller
                .fleet
                .machines
                .values()
                .filter(|machine| !machine.acknowledged)
                .map(|machine| (machine.id.to_string(), machine.latest_heartbeat.agent_epoch.max(1)))
                .collect();
            for (machine, agent_epoch) in unacknowledged {
                let unreachable = self.partition.is_some()
                    && self
                        .workers
                        .iter()
                        .any(|worker| worker.state.id == machine && worker.state.zone == "south");
                if unreachable || !self.rng.random_bool(self.faults.token_commands) {
                    continue;
                }
                let slow = self.chance(self.faults.slow_commands);
                let at = if slow { self.later(0.5, 15.0) } else { self.now };
                self.commands.push(Command { at, machine, fencing_token, agent_epoch });
            }
        }
    }

    /// Workers execute the direct commands that have arrived.
    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            let Some(w) = self.workers.iter().position(|w| w.state.id == command.machine) else { continue };
            let worker = &mut self.workers[w];
            if self.now < command.at || self.now < worker.frozen_until || self.now < worker.partitioned_until
            {
                // The command is delivered once the machine resumes or its partition ends.
                self.commands.push(command);
                continue;
            }
            if self.now < worker.replies_lost_until {
                continue;
            }
            worker.state.accept_command(command.fencing_token, command.agent_epoch);
            let heartbeat = worker.state.heartbeat();
            self.faults_occurred += u32::from(command.at < self.now);
            if self.chance(0.2) {
                continue;
            }
            let slow = self.chance(self.faults.slow_commands);
            let at = if slow { self.later(0.5, 10.0) } else { self.now };
            self.command_replies.push((at, (command.fencing_token, heartbeat)));
        }
    }

    /// Leaders receive the workers' replies to their direct commands.
    fn receive_command_replies(&mut self) {
        let now = self.now;
        for (fencing_token, heartbeat) in take_due(&mut self.command_replies, now) {
            let Some(leader_index) =
                self.leaders.iter().position(|leader| leader.controller.fleet.fencing_token == fencing_token)
            else {
                continue;
            };
            if self.leaders[leader_index]
                .controller
                .fleet
                .apply_direct_command_reply(&heartbeat, now)
                .is_some()
            {
                self.leaders.remove(leader_index);
            }
        }
    }
}
