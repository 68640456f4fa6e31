//! Heartbeats from workers and the answers to them: the check-in itself, orders in the reply,
//! replies that wait for a start, and direct commands that carry this leader's fencing token or
//! halts to machines that are not heard from.

use super::reconciliation::is_over;
use super::*;

/// With no more pairs of job and machine than this, each report is answered on a plan of the
/// moment; with more, plans are made beside the answers.
pub(super) const MAX_PAIRS_PLANNED_INLINE: usize = 4_000;

/// Most machines whose report is overdue to which halts are sent at once. Behind a cut each is waited for in
/// vain, and halts for tasks in whose place others wait would wait as well; the lease ends what is there.
const MAX_OVERDUE_HALTS: usize = 6;

impl Fleet {
    /// A heartbeat came while this leader may answer none (its own lease is not confirmed). Without
    /// this a machine whose lease expired for that would be taken for silent and scaled in as soon as
    /// the leader may act again: after a long outage of the state store all of them.
    pub fn not_answered(&mut self, machine: &str, now: Steady) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.alive = now;
        }
    }

    /// Takes a worker's heartbeat: reconciles it with what is held and says what to answer.
    pub fn check_in(&mut self, r: &Heartbeat, now: Steady, wall: Wall) -> HeartbeatOutcome {
        if r.fencing_token > self.fencing_token {
            return HeartbeatOutcome::Superseded(r.fencing_token);
        }
        let id: MachineId = r.machine.as_str().into();
        if self.gone.contains_key(&id) {
            return HeartbeatOutcome::Refuse;
        }
        if !self.machines.contains_key(&id) {
            if r.machine.is_empty()
                || r.machine.len() > 100
                || r.machine.contains([' ', '/', '?', '&', '%', '#'])
            {
                return HeartbeatOutcome::Refuse;
            }
            if !r.tasks.is_empty() {
                // Nothing is started on a machine without a record, and it has none: a late copy
                // from a machine that was returned before this owner came.
                tracing::info!(machine = %id, "late heartbeat of a gone machine refused");
                return HeartbeatOutcome::Refuse;
            }
            tracing::info!(machine = %id, ty = %r.machine_type, zone = %r.zone, "first heartbeat");
            self.machines.insert(id.clone(), Machine::new(&id, now));
        }
        self.describe(&id, &r.address, &r.machine_type, &r.zone, r.spot);
        if !self.reconcile_heartbeat(&id, r, now) {
            // A copy, or one that was overtaken: it renews nothing and revives nothing, and the
            // worker does not wait for its answer.
            return HeartbeatOutcome::Refuse;
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.answered = Some(now);
            m.report = now;
            m.expired = false;
            m.missing = false;
        }
        let orders = self.reply_orders(&id, now, wall);
        HeartbeatOutcome::Reply(HeartbeatReply { fencing_token: self.fencing_token, commands: orders })
    }

    /// Takes the heartbeat that a direct command returned: it only tells that this leader's fencing
    /// token has arrived. Its task list may be older than a start on its way, so once the machine is
    /// heard it is not used at all. Returns a higher fencing token, if one shows (a newer leader).
    pub fn raised(&mut self, r: &Heartbeat, now: Steady) -> Option<u64> {
        if r.fencing_token > self.fencing_token {
            return Some(r.fencing_token);
        }
        let id: MachineId = r.machine.as_str().into();
        if self.machines.get(&id).is_some_and(|m| !m.heard) {
            self.reconcile_heartbeat(&id, r, now);
            // What an earlier owner answered was reported before this. A machine that never reports
            // would otherwise hold its tasks until it is returned.
            if let Some(m) = self.machines.get_mut(&id).filter(|_| r.fencing_token == self.fencing_token) {
                m.ours_since = Some(now);
            }
        }
        None
    }

    /// Direct commands without orders to the machines to which this leader's fencing token has to be
    /// brought.
    pub fn to_raise(&self, now: Steady) -> Vec<DirectCommand> {
        let due = self.machines.values().filter(|m| m.to_raise(now) && !m.addr.is_empty());
        due.map(|m| m.direct_command(Vec::new())).collect()
    }

    /// Direct commands with halts of tasks in whose place others wait, and of what is left of jobs
    /// that are over on machines whose heartbeat is overdue. The reply to a heartbeat carries the same
    /// halts; a machine that reaches no controller, or whose leader may no longer answer, has them
    /// from here.
    pub fn to_halt(&mut self, now: Steady) -> Vec<DirectCommand> {
        let overdue = self.overdue_with_remains(now);
        let mut out = Vec::new();
        for m in self.machines.values_mut() {
            if m.addr.is_empty() {
                continue;
            }
            let is_overdue = overdue.contains(&m.id);
            let mut orders = Vec::new();
            for (k, e) in m.tasks.iter_mut().filter(|x| x.1.live()) {
                let Some(grace_s) = e.stop else { continue };
                if e.stop_at_once || (is_overdue && grace_s == 0.0 && is_over(&self.jobs, k)) {
                    e.stop_at_once = false;
                    orders.push(WorkerCommand::Halt { task: task_name(&k.0, k.1), attempt: k.2, grace_s });
                }
            }
            if !orders.is_empty() {
                m.commanded = now;
                out.push(m.direct_command(orders));
            }
        }
        self.count_orders(out.iter().flat_map(|command| &command.commands), now);
        out
    }

    /// Machines whose report is overdue and on which jobs that are over have tasks left: those that were
    /// commanded least recently, and no more than are waited for without holding up other halts.
    fn overdue_with_remains(&self, now: Steady) -> BTreeSet<MachineId> {
        let overdue = Micros::from_secs(self.cfg.platform.settings.workers.report_s * 1.5);
        let has_remains = |m: &Machine| {
            m.tasks.iter().any(|(k, e)| e.live() && e.stop == Some(0.0) && is_over(&self.jobs, k))
        };
        let due = self.machines.values().filter(|m| now - m.report.max(m.commanded) > overdue);
        let mut machines: Vec<&Machine> = due.filter(|m| has_remains(m)).collect();
        machines.sort_by_key(|m| m.commanded);
        machines.into_iter().take(MAX_OVERDUE_HALTS).map(|m| m.id.clone()).collect()
    }

    /// The orders with which a machine's heartbeat is answered: forgets of ended tasks whose end is
    /// written, halts, and the starts of the plan (at most `MAX_ORDERS`).
    pub(super) fn reply_orders(&mut self, id: &MachineId, now: Steady, wall: Wall) -> Vec<WorkerCommand> {
        let mut out = Vec::new();
        if let Some(m) = self.machines.get(id) {
            for (k, e) in &m.tasks {
                if out.len() >= MAX_ORDERS {
                    break;
                }
                let task = task_name(&k.0, k.1);
                match (e.ended, e.stop) {
                    (Some(why), _) => {
                        let written = match self.jobs.get(&k.0) {
                            // A service is never done: nothing of its replicas' ends is written.
                            Some(j) if j.spec.is_service() => true,
                            Some(j) if why == ExitReason::Done && !j.cancelled => {
                                j.done_written.contains(k.1)
                            }
                            _ => true,
                        };
                        if written {
                            out.push(WorkerCommand::Forget { task, attempt: k.2 });
                        }
                    }
                    (None, Some(grace_s)) => out.push(WorkerCommand::Halt { task, attempt: k.2, grace_s }),
                    (None, None) => {}
                }
            }
        }
        if self.jobs.len() * self.machines.len() <= MAX_PAIRS_PLANNED_INLINE {
            // Cheap enough to be up to date with what was just reported.
            self.replan(now, wall);
        }
        self.start_on(id, now, &mut out);
        self.count_orders(&out, now);
        out
    }

    /// Whether a heartbeat's reply may be deferred: nothing is on the machine but service replicas that
    /// run, and there is nothing to tell it, so that a start which comes up meanwhile can leave at once.
    pub fn may_wait(&self, id: &str, now: Steady) -> bool {
        let Some(m) = self.machines.get(id).filter(|m| m.usable(now)) else { return false };
        let steady_replica = |k: &TaskKey, e: &TaskEntry| {
            let service = self.jobs.get(&k.0).is_some_and(|j| j.spec.is_service());
            service && e.stage == Some(TaskStage::Running) && e.stop.is_none()
        };
        m.notice.is_none() && m.tasks.iter().all(|(k, e)| steady_replica(k, e))
    }

    /// The reply to a machine's heartbeat is deferred until `until`: a start that comes up before
    /// leaves at once.
    pub fn reply_deferred(&mut self, id: &str, until: Steady) {
        if let Some(m) = self.machines.get_mut(id) {
            m.deferred_until = until;
        }
    }

    /// Whether a start for the machine may leave now: a gang place or an assigned job on it whose mark
    /// (how many tasks may start) is written.
    pub fn start_waits(&self, id: &str) -> bool {
        let gang = || self.promised.get(id).is_some_and(|l| l.iter().any(|(j, n)| self.marked(j, *n)));
        gang() || self.assigned.get(id).is_some_and(|l| l.iter().any(|(j, _)| self.marked(j, 0)))
    }

    /// The orders with which a deferred heartbeat is answered; empty if a newer heartbeat has come.
    pub fn later(&mut self, r: &Heartbeat, now: Steady, wall: Wall) -> Vec<WorkerCommand> {
        let id: MachineId = r.machine.as_str().into();
        if self.machines.get(&id).is_none_or(|m| m.seen != (r.agent_epoch, r.sequence)) {
            return Vec::new();
        }
        self.reply_orders(&id, now, wall)
    }
}
