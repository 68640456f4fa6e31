//! Reconciliation: squaring what a heartbeat says of its machine and tasks with what this leader
//! holds, and what a task's end says of its machine and job.

use super::*;

/// After so many answers in a row that did not arrive, a machine is returned.
const MAX_UNDELIVERED_ANSWERS: u32 = 4;

/// A machine on which tasks of so many jobs failed, with no success between, is returned; one on which a
/// job failed that succeeds on others, at once.
const MAX_FAILED_JOBS: usize = 2;

/// How long a machine that had no room for a task gets no other.
const NO_ROOM_PAUSE: Micros = Micros(2_000_000);

/// Tasks of a report beyond this many are not read.
const MAX_REPORTED_TASKS: usize = 10_000;

/// Whether the job of a task is over, or not known.
pub(super) fn is_over(jobs: &BTreeMap<JobId, Job>, task: &TaskKey) -> bool {
    jobs.get(&task.0).is_none_or(|j| j.cancelled)
}

/// How a task ended, as taken from a heartbeat.
pub(super) struct TaskEnd {
    /// Why it exited, as the worker reported.
    why: ExitReason,
    /// How long it ran, if that was seen whole.
    ran: Option<Micros>,
    /// How long it has been known here.
    lived: Micros,
}

impl TaskEntry {
    /// Marks the task as ended.
    fn end(&mut self, why: ExitReason, now: Steady) -> TaskEnd {
        self.ended = Some(why);
        TaskEnd { why, ran: self.running.map(|r| now - r), lived: now - self.since }
    }
}

impl Fleet {
    /// Reconciles what a heartbeat says of its machine and tasks, unless it is no newer (by agent
    /// epoch and sequence number) than the last one; returns whether it was taken.
    pub(super) fn reconcile_heartbeat(&mut self, id: &MachineId, r: &Heartbeat, now: Steady) -> bool {
        let Some(m) = self.machines.get_mut(id) else { return false };
        if (r.agent_epoch, r.sequence) <= m.seen {
            return false;
        }
        let lost_lease = m.seen.0 > 0 && r.agent_epoch > m.seen.0;
        m.seen = (r.agent_epoch, r.sequence);
        let had_notice = m.notice.is_some();
        self.reconcile_machine_state(id, r, now);
        let mut there = self.reconcile_tasks(id, r, now);
        if !had_notice {
            self.stop_unfinishable(id, now);
        }
        self.note_reply_delivery(id, &there, lost_lease, now);
        there.sort_unstable();
        self.drop_absent_tasks(id, &there);
        if let Some(m) = self.machines.get_mut(id).filter(|m| !m.tasks.is_empty()) {
            m.idle = now;
        }
        true
    }

    /// Reconciles what a heartbeat says of the machine itself: that it is up, whose fencing token it
    /// has, and any spot notice.
    fn reconcile_machine_state(&mut self, id: &MachineId, r: &Heartbeat, now: Steady) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let is_first = !m.up;
        if is_first {
            m.up = true;
            m.idle = now;
            self.dirty = true;
        }
        let is_heard_now = !m.heard && r.fencing_token == self.fencing_token;
        if is_heard_now {
            m.heard = true;
            self.unheard_machines = self.unheard_machines.saturating_sub(1);
            self.uses.clear();
            self.dirty = true;
        }
        let notice = r.interruption_notice_s.filter(|s| s.is_finite()).map(|s| now + Micros::from_secs(s));
        if notice.is_some() != m.notice.is_some() {
            tracing::info!(machine = %id, seconds = r.interruption_notice_s, "spot notice");
            self.dirty = true;
        }
        m.notice = notice;
        if is_first {
            self.compare_with_records(id, r);
        }
        if is_heard_now {
            self.machine_heard(id, now);
        }
    }

    /// Reconciles the tasks that a heartbeat lists, and returns their keys.
    fn reconcile_tasks(&mut self, id: &MachineId, r: &Heartbeat, now: Steady) -> Vec<TaskKey> {
        let mut there: Vec<TaskKey> = Vec::with_capacity(r.tasks.len());
        for t in r.tasks.iter().take(MAX_REPORTED_TASKS) {
            let Some((job, n)) = split_task(&t.task) else {
                tracing::error!(machine = %id, task = %t.task, "heartbeat names a malformed task");
                continue;
            };
            let job = self.jobs.get_key_value(job).map_or_else(|| job.into(), |j| j.0.clone());
            let key: TaskKey = (job, n, t.attempt);
            self.reconcile_task(id, &key, t, now);
            there.push(key);
        }
        there
    }

    /// Stops the array tasks on a machine that the cloud is about to take which, by their stated time,
    /// end only after that: what they have done is lost anyway, and the sooner they run elsewhere the
    /// better. Decided once, when the notice comes: later on, one that overruns its stated time would be
    /// stopped just before its end.
    fn stop_unfinishable(&mut self, id: &MachineId, now: Steady) {
        let Some(m) = self.machines.get(id) else { return };
        let Some(notice) = m.notice else { return };
        let saves_nothing = |s: &JobSpec| s.is_array() && s.checkpoint_s <= 0.0;
        let unfinishable = m.tasks.iter().filter(|(k, e)| {
            let spec = self.jobs.get(&k.0).map(|j| &j.spec);
            e.live() && spec.is_some_and(saves_nothing) && self.stated_left(e, spec, now) > notice - now
        });
        let stopped: Vec<TaskKey> = unfinishable.map(|(k, _)| k.clone()).collect();
        let Some(m) = self.machines.get_mut(id) else { return };
        for key in stopped {
            if let Some(e) = m.tasks.get_mut(&key) {
                e.stop.get_or_insert(0.0);
            }
        }
    }

    /// Drops a machine's tasks that are not among those reported, which are sorted.
    fn drop_absent_tasks(&mut self, id: &MachineId, there: &[TaskKey]) {
        let Some(m) = self.machines.get(id) else { return };
        let absent: Vec<TaskKey> =
            m.tasks.keys().filter(|k| there.binary_search(k).is_err()).cloned().collect();
        for k in absent {
            let Some(e) = self.machines.get_mut(id).and_then(|m| m.tasks.remove(&k)) else { continue };
            if e.live() {
                // The start did not arrive, or the worker's lease ran out and it forgot all.
                tracing::debug!(machine = %id, job = %k.0, task = k.1, "task missing from heartbeat");
                self.vanished(&k, id);
            }
        }
    }

    /// Whether the last reply arrived, by what the heartbeat after it shows. A machine whose
    /// heartbeats come through while replies do not would have the same work promised to it for ever,
    /// and nothing of it run: it gets nothing for longer and longer, and is scaled in if it stays so.
    pub(super) fn note_reply_delivery(
        &mut self,
        id: &MachineId,
        there: &[TaskKey],
        lost_lease: bool,
        now: Steady,
    ) {
        let heartbeat_interval = self.heartbeat_interval();
        let Some(m) = self.machines.get_mut(id) else { return };
        // Unless this owner itself let the lease run out, since it might not answer.
        let answered = m.answered.is_some_and(|a| now - a < self.lease && m.alive <= a);
        let sent = std::mem::take(&mut m.sent);
        if lost_lease && answered {
            // Its lease ran out although each report was answered.
            m.undelivered += 2;
        } else if !sent.is_empty() {
            if sent.iter().any(|k| there.contains(k)) {
                m.undelivered = 0;
                return;
            }
            m.undelivered += 1;
        } else {
            return;
        }
        // One may be lost on the way: only the next says that something is wrong.
        if m.undelivered >= 2 {
            m.not_before =
                m.not_before.max(now + heartbeat_interval.scale(f64::from(1u32 << m.undelivered.min(4))));
        }
        tracing::info!(machine = %id, undelivered = m.undelivered, "heartbeat reply not delivered");
        if m.undelivered >= MAX_UNDELIVERED_ANSWERS && !m.leaving {
            tracing::info!(machine = %id, reason = "replies not delivered", "scale in");
            m.leaving = true;
        }
        self.dirty = true;
    }

    /// Reconciles what a heartbeat says of one task.
    pub(super) fn reconcile_task(&mut self, id: &MachineId, key: &TaskKey, t: &TaskStatus, now: Steady) {
        // Most of a report says what is known already.
        let known = self.machines.get(id).and_then(|m| m.tasks.get(key));
        if known.is_some_and(|e| e.ended.is_some() || (e.stage == Some(t.stage) && e.need.is_some())) {
            return;
        }
        let fresh = known.is_none();
        if fresh {
            self.uses.clear();
        }
        let job = self.jobs.get(&key.0);
        let need = job.map(|j| need_of(&j.spec));
        // Withdrawn, or done while this task was out of sight.
        let job_is_over = job.is_none_or(|j| j.cancelled);
        let Some(m) = self.machines.get_mut(id) else { return };
        let e = m.tasks.entry(key.clone()).or_insert_with(|| TaskEntry::new(need, now));
        if job_is_over {
            e.stop = Some(0.0);
        }
        let before = e.stage.replace(t.stage);
        let changed = before != Some(t.stage);
        if t.stage == TaskStage::Running && e.running.is_none() && !fresh && changed {
            e.running = Some(now);
            tracing::debug!(machine = %id, job = %key.0, task = key.1, "task running");
        }
        let ended =
            (t.stage == TaskStage::Exited).then(|| e.end(t.exit_reason.unwrap_or(ExitReason::Other), now));
        if changed {
            self.note_cached_image(id, &key.0);
        }
        if let Some(ended) = ended {
            self.task_exited(id, key, ended, now);
        } else if before.is_none() {
            self.refresh(&key.0, key.1, id);
        }
    }

    /// Notes that a machine holds a job's image, and that the oldest ones beyond its cache are gone.
    fn note_cached_image(&mut self, id: &MachineId, job: &JobId) {
        let Some(spec) = self.jobs.get(job).map(|j| &j.spec) else { return };
        let (Some(name), image_gb) = (spec.image.clone(), spec.image_gb) else { return };
        let image = self.image(&name);
        let Some(m) = self.machines.get_mut(id) else { return };
        let cache_gb = m.ty.and_then(|t| self.types.get(t)).map_or(0.0, |t| t.cache_gb);
        m.images.retain(|i| i.0 != image);
        m.images.push((image, image_gb));
        let mut held: f64 = m.images.iter().map(|i| i.1).sum();
        while held > cache_gb && m.images.len() > 1 {
            held -= m.images.remove(0).1;
        }
    }

    /// Takes the end of a task into its machine and job.
    fn task_exited(&mut self, id: &MachineId, key: &TaskKey, ended: TaskEnd, now: Steady) {
        let why = ended.why;
        tracing::debug!(machine = %id, job = %key.0, task = key.1, reason = ?why, "task exited");
        self.end_on_machine(id, &key.0, &ended, now);
        let service = self.jobs.get(&key.0).is_some_and(|j| j.spec.is_service());
        if service {
            self.replica_ended(&key.0, id, why, ended.lived, now);
        } else {
            self.end_in_job(key, id, &ended, now);
        }
        if why != ExitReason::Done {
            self.gang_broken(&key.0, key.2);
        }
        self.refresh(&key.0, key.1, id);
    }

    /// What a task's end says of its machine.
    fn end_on_machine(&mut self, id: &MachineId, job: &JobId, ended: &TaskEnd, now: Steady) {
        let succeeds_elsewhere = self.jobs.get(job).is_some_and(|j| !j.done.is_empty());
        let Some(m) = self.machines.get_mut(id) else { return };
        match ended.why {
            // What was started before a failure tells nothing of the machine as it is now.
            ExitReason::Done if now - ended.lived > m.failed_at => m.failed.clear(),
            ExitReason::Error => {
                m.failed.insert(job.clone());
                m.failed_at = now;
                if (m.failed.len() >= MAX_FAILED_JOBS || succeeds_elsewhere) && !m.leaving {
                    // Errors across different jobs, or of one that is not mistaken: the machine is at
                    // fault.
                    let jobs = m.failed.len();
                    tracing::info!(machine = %id, jobs, reason = "tasks failed", "scale in");
                    m.leaving = true;
                }
            }
            ExitReason::NoRoom => m.not_before = now + NO_ROOM_PAUSE,
            _ => {}
        }
    }

    /// What a task's end says of its job, which is no service.
    fn end_in_job(&mut self, key: &TaskKey, id: &MachineId, ended: &TaskEnd, now: Steady) {
        let Some(j) = self.jobs.get_mut(&key.0) else { return };
        match ended.why {
            ExitReason::Done if key.1 < j.spec.tasks => {
                j.succeeded();
                if j.spec.is_gang() {
                    // A gang completes together.
                    j.done = TaskRanges::span(0, j.spec.tasks);
                    j.waiting = TaskRanges::new();
                } else {
                    j.done.insert(key.1);
                    j.waiting.remove(key.1);
                }
                if let Some(r) = ended.ran {
                    j.ran = (j.ran.0 + r, j.ran.1 + 1);
                }
            }
            ExitReason::Error | ExitReason::UnknownTask => j.back_off(id, now),
            _ => {}
        }
    }
}
