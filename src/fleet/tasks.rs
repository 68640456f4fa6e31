//! Jobs as they are added and end, and the machines on which their tasks are running, or may be.

use std::collections::BTreeSet;

use super::machine::{TaskEntry, TaskKey};
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::keys::{lent_done_key, lent_start_mark_key};
use crate::records::JobRecord;
use crate::sched::Resources;
use crate::time::{Micros, Steady};
use crate::wire::{JobSpec, MachineType, TaskStage};

/// Progress of a job's tasks, as answered to a poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks done.
    pub done: u32,
    /// Tasks running or saving a checkpoint.
    pub running: u32,
}

/// The run time that the planner assumes of services, which have no end: a day.
const SERVICE_RUN_TIME: Micros = Micros(86_400_000_000);

/// Resources of one task of a job.
pub fn task_resources(spec: &JobSpec) -> Resources {
    Resources { cpus: spec.cpus, gpus: spec.gpus, memory: spec.memory_gb }
}

/// Resources of an empty machine of a type.
pub(super) fn type_resources(machine_type: &MachineType) -> Resources {
    Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory: machine_type.memory_gb }
}

/// The stated run time of a job's tasks.
pub(super) fn stated_run_time(spec: &JobSpec) -> Micros {
    if spec.is_service() {
        SERVICE_RUN_TIME
    } else {
        Micros::from_secs(spec.estimate_s)
    }
}

/// A task's name on the wire: `JOB/NUMBER`, the form that `split_task` reads.
pub(super) fn task_name(job: &JobId, number: u32) -> String {
    format!("{job}/{number}")
}

impl Fleet {
    /// The revision of the state store up to which all changes of jobs have been applied.
    pub fn jobs_revision(&self) -> u64 {
        self.jobs_revision
    }

    /// All changes of jobs up to a revision have been applied.
    pub fn advance_jobs_revision(&mut self, revision: u64) {
        self.jobs_revision = self.jobs_revision.max(revision);
        let applied = self.jobs_revision;
        self.ended_jobs.retain(|_, ended_at| *ended_at > applied);
    }

    /// Applies a job's record, new or changed. Late copies of jobs that have ended are ignored: what
    /// was written at or before the revision up to which all is applied, and is not known, has ended.
    /// Without this a message of another controller, delayed until after a failover to a leader that
    /// never knew the job, would start a cancelled one.
    pub fn apply_job_record(&mut self, record: JobRecord, mod_revision: u64, now: Steady) {
        let id: JobId = record.spec.id.as_str().into();
        let is_late = mod_revision <= self.jobs_revision && !self.jobs.contains_key(&id);
        if self.is_unreadable_job(&id) {
            // What is done of it is not known here: only a leader that reads everything anew may begin.
            return;
        }
        self.mark_job_readable(&id);
        if is_late || self.ended_jobs.get(&id).is_some_and(|&ended_at| ended_at >= mod_revision) {
            return;
        }
        if record.lending.cancelling {
            // Its user waits for other cells to give up what they hold; nothing of it runs any more.
            self.job_ended(&id, mod_revision);
            self.apply_lending(&record, mod_revision);
        } else if self.jobs.contains_key(&id) {
            self.update_job(&id, &record, mod_revision);
        } else {
            self.add_job(id, record, mod_revision, now);
        }
    }

    /// Applies a newer record of a known job.
    fn update_job(&mut self, id: &JobId, record: &JobRecord, mod_revision: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.borrowed_from.is_some() {
            tracing::error!(job = %id, "a job was accepted here while tasks of its id are borrowed");
            return;
        }
        if mod_revision > job.mod_revision {
            // A placeholder that was left behind goes with the first write of the record.
            self.loans.leftover_placeholders.remove(id);
            job.mod_revision = mod_revision;
            job.start_mark = job.start_mark.max(record.start_mark);
            job.wanted_start_mark = job.wanted_start_mark.max(job.start_mark);
            self.apply_lending(record, mod_revision);
        }
    }

    /// Adds a job from its record.
    fn add_job(&mut self, id: JobId, record: JobRecord, mod_revision: u64, now: Steady) {
        let lending = (!record.lending.is_empty()).then(|| record.clone());
        let mut job = Job::new(record, mod_revision, now);
        let JobSpec { class, tasks, cpus, estimate_s, deadline_s, .. } = &job.spec;
        tracing::debug!(job = %id, ?class, tasks, cpus, estimate_s, ?deadline_s, "job added");
        if job.spec.is_service() {
            // All its replicas are to run at once: their start mark need not wait for a plan.
            job.wanted_start_mark = job.spec.tasks;
        }
        let need = task_resources(&job.spec);
        self.record_recent_job(&job.spec, now);
        // Heartbeats may have listed tasks of the job before its record was known.
        for machine in self.machines.values_mut() {
            for (_, task) in machine.tasks.range_mut(TaskKey::all_of_job(&id)) {
                task.need = Some(need);
            }
        }
        self.cancel_removals_of_job(&id);
        self.jobs.insert(id.clone(), job);
        if let Some(record) = lending {
            self.apply_lending(&record, mod_revision);
        }
        for (number, machine) in self.task_locations(&id) {
            self.update_placement(&id, number, &machine);
        }
        self.dirty = true;
    }

    /// A job's record was removed at this revision: it has ended, cancelled by its user or complete.
    /// What is left of it is stopped.
    pub fn job_ended(&mut self, id: &str, revision: u64) {
        let id: JobId = id.into();
        self.mark_job_readable(&id);
        if revision > self.jobs_revision {
            let ended_at = self.ended_jobs.entry(id.clone()).or_insert(0);
            *ended_at = (*ended_at).max(revision);
        }
        // A borrowed job has a record of its own; one of its id under the jobs' prefix is another's.
        let is_other = |job: &Job| job.mod_revision > revision || job.borrowed_from.is_some();
        if self.jobs.get(&id).is_some_and(is_other) {
            return;
        }
        self.end_lending(&id);
        self.end_job(&id);
    }

    /// A job has ended here: what is left of it is stopped, and its records are removed.
    pub(super) fn end_job(&mut self, id: &str) {
        let id: JobId = id.into();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.ended = true;
        job.gang = None;
        for (chunk, mod_revision) in std::mem::take(&mut job.done_chunks) {
            if mod_revision > 0 {
                self.cleanup.rows.insert(job.done_chunk_key(chunk), mod_revision);
            }
        }
        let copy = std::mem::take(&mut job.copy);
        let chunk_copies =
            copy.done_chunks.into_iter().map(|(chunk, revision)| (lent_done_key(&id, chunk), revision));
        let copies = chunk_copies.chain([(lent_start_mark_key(&id), copy.start_mark_revision)]);
        self.cleanup.rows.extend(copies.filter(|(_, mod_revision)| *mod_revision > 0));
        self.start_marks.remove(&id);
        self.stop_tasks(&id, None, 0.0, true);
        self.remove_if_cleared(&id);
        self.dirty = true;
    }

    /// Forgets a job that has ended once none of its tasks may be running.
    pub(super) fn remove_if_cleared(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| job.ended && job.placements.is_empty()) {
            self.jobs.remove(id);
        }
    }

    /// A job's tasks with the machines that have an entry of them.
    pub(super) fn task_locations(&self, id: &JobId) -> Vec<(u32, MachineId)> {
        let mut locations = Vec::new();
        for machine in self.machines.values() {
            let tasks = machine.tasks.range(TaskKey::all_of_job(id));
            locations.extend(tasks.map(|(key, _)| (key.number, machine.id.clone())));
        }
        locations
    }

    /// Machines on which tasks of a job are running, or may be.
    pub(super) fn machines_with_tasks(&self, id: &str) -> Vec<MachineId> {
        let machines: BTreeSet<&MachineId> =
            self.jobs.get(id).iter().flat_map(|job| job.placements.values().flatten()).collect();
        machines.into_iter().cloned().collect()
    }

    /// Stops live tasks of a job, all or those of one attempt, on every machine. With `replace`, the
    /// grace of those that are being stopped is replaced as well.
    pub(super) fn stop_tasks(&mut self, id: &JobId, attempt: Option<u64>, grace_s: f64, replace: bool) {
        for machine in self.machines_with_tasks(id) {
            let Some(machine) = self.machines.get_mut(&machine) else { continue };
            for (key, task) in machine.tasks.range_mut(TaskKey::all_of_job(id)) {
                let is_meant = attempt.is_none_or(|attempt| attempt == key.attempt) && task.is_live();
                if is_meant && (replace || task.stop_grace_s.is_none()) {
                    task.stop_grace_s = Some(grace_s);
                }
            }
        }
    }

    /// Brings a task's placements in its job in line with the entries of one machine.
    pub(super) fn update_placement(&mut self, id: &JobId, number: u32, machine: &MachineId) {
        let may_be_running = self.machines.get(machine).is_some_and(|machine| {
            machine.tasks.range(TaskKey::all_of_task(id, number)).any(|(_, task)| task.is_live())
        });
        let Some(job) = self.jobs.get_mut(id) else { return };
        if number >= job.spec.tasks {
            return;
        }
        if may_be_running {
            let machines = job.placements.entry(number).or_default();
            if !machines.contains(machine) {
                machines.push(machine.clone());
            }
            job.waiting.remove(number);
        } else {
            job.remove_placement(number, machine);
        }
        self.dirty = true;
        self.remove_if_cleared(id);
    }

    /// A task's entry was removed from its machine, and how it ended is not known.
    pub(super) fn task_lost(&mut self, key: &TaskKey, machine: &MachineId) {
        self.stop_gang_attempt(&key.job, key.attempt);
        self.update_placement(&key.job, key.number, machine);
    }

    /// A gang's attempt lost a task: the others are stopped, and a new attempt waits until none of them
    /// may be running.
    pub(super) fn stop_gang_attempt(&mut self, id: &JobId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.spec.is_gang() {
            return;
        }
        if let Some(gang) = job.gang.as_mut().filter(|gang| gang.attempt == attempt) {
            gang.stop_grace_s.get_or_insert(0.0);
        }
        self.stop_tasks(id, Some(attempt), 0.0, false);
        self.dirty = true;
    }

    /// Progress of a job for a poll; `None` if the job is not known here or is cancelled.
    pub fn progress(&self, id: &str) -> Option<JobProgress> {
        let job = self.jobs.get(id).filter(|job| !job.ended)?;
        let placements = job.placements.iter();
        let pairs = placements.flat_map(|(number, machines)| machines.iter().map(|id| (*number, id)));
        let running = pairs.filter(|(number, machine)| self.is_running(&job.id, *number, machine)).count();
        Some(JobProgress { done: job.done.len(), running: running as u32 })
    }

    /// Whether an attempt of a task runs on a machine, by its latest heartbeat.
    fn is_running(&self, job: &JobId, number: u32, machine: &MachineId) -> bool {
        let runs = |task: &TaskEntry| {
            task.is_live() && matches!(task.stage, Some(TaskStage::Running | TaskStage::Saving))
        };
        self.machines.get(machine).is_some_and(|machine| {
            machine.tasks.range(TaskKey::all_of_task(job, number)).any(|(_, task)| runs(task))
        })
    }
}
