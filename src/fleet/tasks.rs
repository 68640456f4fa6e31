//! Jobs as they come and end, and where their tasks are.

use super::*;

impl Fleet {
    /// Up to which revision all changes of jobs are known.
    pub fn read_to(&self) -> u64 {
        self.read_to
    }

    /// All changes of jobs up to a revision have been taken in.
    pub fn has_read_to(&mut self, revision: u64) {
        self.read_to = self.read_to.max(revision);
        let known = self.read_to;
        self.over.retain(|_, r| *r > known);
    }

    /// Learns of a job, new or changed. Late copies of what is over are ignored: what was written by
    /// the revision up to which all is known, and is not known, has ended. Without this the word of
    /// another controller, held up on the way until an owner had come that never knew the job, would
    /// start a cancelled one.
    pub fn job_put(&mut self, record: JobRecord, mod_revision: u64, now: Steady) {
        let id: JobId = record.spec.id.as_str().into();
        let late = mod_revision <= self.read_to && !self.jobs.contains_key(&id);
        if late || self.over.get(&id).is_some_and(|&r| r >= mod_revision) {
            return;
        }
        if record.lending.cancelling {
            // Its user waits for other cells to give up what they hold; nothing of it runs any more.
            self.job_over(&id, mod_revision);
            self.apply_lending(&record, mod_revision);
            return;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            if j.borrowed_from.is_some() {
                tracing::error!(job = %id, "a job was accepted here while tasks of its id are borrowed");
                return;
            }
            if mod_revision > j.mod_revision {
                j.mod_revision = mod_revision;
                j.high = j.high.max(record.high_water_mark);
                j.high_wanted = j.high_wanted.max(j.high);
                self.apply_lending(&record, mod_revision);
            }
            return;
        }
        let lending = (!record.lending.is_empty()).then(|| record.clone());
        let mut job = Job::new(record, mod_revision, now);
        let JobSpec { class, tasks, cpus, estimate_s, deadline_s, .. } = &job.spec;
        tracing::debug!(job = %id, ?class, tasks, cpus, estimate_s, ?deadline_s, "job added");
        if job.spec.is_service() {
            // All its replicas are to run at once: their mark need not wait for a plan.
            job.high_wanted = job.spec.tasks;
        }
        let need = need_of(&job.spec);
        self.demand(&job.spec, now);
        // Tasks of the job may have been reported before its record was known.
        for m in self.machines.values_mut() {
            for (_, e) in m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX)) {
                e.need = Some(need);
            }
        }
        self.jobs.insert(id.clone(), job);
        if let Some(record) = lending {
            self.apply_lending(&record, mod_revision);
        }
        for (n, at) in self.located(&id) {
            self.refresh(&id, n, &at);
        }
        self.dirty = true;
    }

    /// A job's record is gone at this revision: it is over, by its user's wish or because this
    /// owner wrote its end. What is left of it is stopped.
    pub fn job_over(&mut self, id: &str, revision: u64) {
        let id: JobId = id.into();
        if revision > self.read_to {
            let r = self.over.entry(id.clone()).or_insert(0);
            *r = (*r).max(revision);
        }
        // A borrowed job has a record of its own; one of its id under the jobs' prefix is another's.
        if self.jobs.get(&id).is_some_and(|j| j.mod_revision > revision || j.borrowed_from.is_some()) {
            return;
        }
        self.end_lending(&id);
        self.end_job(&id);
    }

    /// A job is over here: what is left of it is stopped, and its records go.
    pub(super) fn end_job(&mut self, id: &str) {
        let id: JobId = id.into();
        let Some(j) = self.jobs.get_mut(&id) else { return };
        j.cancelled = true;
        j.gang = None;
        for (c, mod_revision) in std::mem::take(&mut j.chunks).into_iter().filter(|c| c.1 > 0) {
            self.orphans.insert(j.done_chunk_key(c), mod_revision);
        }
        self.marks.remove(&id);
        self.stop_all(&id, None, 0.0, true);
        self.clear_job(&id);
        self.dirty = true;
    }

    pub(super) fn clear_job(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|j| j.cancelled && j.live.is_empty()) {
            self.jobs.remove(id);
        }
    }

    pub(super) fn located(&self, id: &JobId) -> Vec<(u32, MachineId)> {
        let all = || (id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX);
        self.machines.values().flat_map(|m| m.tasks.range(all()).map(|(k, _)| (k.1, m.id.clone()))).collect()
    }

    /// Machines on which live tasks of a job possibly are.
    pub(super) fn places(&self, id: &str) -> Vec<MachineId> {
        let all: BTreeSet<&MachineId> =
            self.jobs.get(id).iter().flat_map(|j| j.live.values().flatten()).collect();
        all.into_iter().cloned().collect()
    }

    /// Tells live tasks of a job to stop, all or those of one attempt, on every machine.
    pub(super) fn stop_all(&mut self, id: &JobId, attempt: Option<u64>, grace: f64, anew: bool) {
        for at in self.places(id) {
            let Some(m) = self.machines.get_mut(&at) else { continue };
            for (k, e) in m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX)) {
                if attempt.is_none_or(|a| a == k.2) && e.live() && (anew || e.stop.is_none()) {
                    e.stop = Some(grace);
                }
            }
        }
    }

    /// Brings a task's standing in its job in line with a machine on which it was, is or may be.
    pub(super) fn refresh(&mut self, id: &JobId, n: u32, at: &MachineId) {
        let there = self.machines.get(at).is_some_and(|m| {
            m.tasks.range((id.clone(), n, 0)..=(id.clone(), n, u64::MAX)).any(|(_, e)| e.live())
        });
        let Some(j) = self.jobs.get_mut(id) else { return };
        if n >= j.spec.tasks {
            return;
        }
        if there {
            let places = j.live.entry(n).or_default();
            if !places.contains(at) {
                places.push(at.clone());
            }
            j.waiting.remove(n);
        } else {
            if let Some(places) = j.live.get_mut(&n) {
                places.retain(|p| p != at);
                if places.is_empty() {
                    j.live.remove(&n);
                }
            }
            if !j.live.contains_key(&n) && !j.done.contains(n) && !j.withheld.contains(n) {
                j.waiting.insert(n);
            }
        }
        self.dirty = true;
        self.clear_job(id);
    }

    /// A task's entry is gone from its machine without a word of how it ended.
    pub(super) fn vanished(&mut self, key: &TaskKey, at: &MachineId) {
        self.gang_broken(&key.0, key.2);
        self.refresh(&key.0, key.1, at);
    }

    /// A gang's attempt lost a task: the rest is stopped, and a new attempt waits until all are
    /// gone.
    pub(super) fn gang_broken(&mut self, id: &JobId, attempt: u64) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if !j.spec.is_gang() {
            return;
        }
        if let Some(g) = j.gang.as_mut().filter(|g| g.attempt == attempt) {
            g.stopping.get_or_insert(0.0);
        }
        self.stop_all(id, Some(attempt), 0.0, false);
        self.dirty = true;
    }
}
