//! Adding and ending jobs, and tracking the machines on which their tasks are running, or may be.

use std::collections::BTreeSet;

use super::machine::{TaskEntry, TaskKey};
use super::Fleet;
use crate::jobs::{Job, JobId, MachineId};
use crate::keys::{lent_done_key, lent_start_mark_key};
use crate::records::JobRecord;
use crate::sched::Resources;
use crate::time::{Micros, Steady};
use crate::wire::{JobSpec, MachineType, TaskStage};

/// The progress of a job's tasks, for the answer to a user who asks for the job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// The number of done tasks.
    pub done: u32,
    /// The number of tasks that are running or saving a checkpoint.
    pub running: u32,
}

/// The run time that the planner assumes for services, which have no end: one day.
const SERVICE_RUN_TIME: Micros = Micros(86_400_000_000);

/// Resources of one task of a job.
pub fn task_resources(spec: &JobSpec) -> Resources {
    Resources { cpus: spec.cpus, gpus: spec.gpus, memory: spec.memory_gb }
}

/// Resources of a machine of this type that runs no task.
pub(super) fn type_resources(machine_type: &MachineType) -> Resources {
    Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory: machine_type.memory_gb }
}

/// The run time that a job's description states for each task.
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

    /// Records that all changes of jobs up to `revision` have been applied.
    pub fn advance_jobs_revision(&mut self, revision: u64) {
        self.jobs_revision = self.jobs_revision.max(revision);
        let applied = self.jobs_revision;
        self.ended_jobs.retain(|_, ended_at| *ended_at > applied);
    }

    /// The latest known revision of the record of an own job, its cancellation or removal included. If the job
    /// is not known, all changes up to `jobs_revision` have been applied, so a record up to there is of a job
    /// that has ended.
    pub fn known_job_revision(&self, id: &str) -> u64 {
        let own = self.jobs.get(id).filter(|job| job.borrowed_from.is_none());
        let live = own.map(|job| job.mod_revision);
        live.max(self.ended_jobs.get(id).copied()).unwrap_or(self.jobs_revision)
    }

    /// Applies a new or changed job record, whatever brought it. A late copy of a record is ignored: it must not
    /// undo a cancellation, nor restore a job that has ended. Otherwise a message of another controller could
    /// start a cancelled job, if it were delayed until after a failover to a leader that never knew the job.
    pub fn apply_job_record(&mut self, record: JobRecord, mod_revision: u64, now: Steady) {
        let id: JobId = record.spec.id.as_str().into();
        if self.is_unreadable_job(&id) {
            // This leader does not know which of the job's tasks are done. The next leader loads all records
            // again and may start the job.
            return;
        }
        self.mark_job_readable(&id);
        if mod_revision <= self.known_job_revision(&id) {
            return;
        }
        if record.lending.cancelling {
            // The job is being cancelled: none of its tasks may run in this cell. Its record stays until the
            // borrowers have closed their loans.
            self.apply_job_removal(&id, mod_revision);
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
            tracing::error!(job = %id, "job accepted in this cell has the id of a borrowed job");
            return;
        }
        // The transaction that wrote the newer record also replaced or deleted a leftover placeholder.
        self.loans.leftover_placeholders.remove(id);
        job.mod_revision = mod_revision;
        job.start_mark = job.start_mark.max(record.start_mark);
        job.wanted_start_mark = job.wanted_start_mark.max(job.start_mark);
        self.apply_lending(record, mod_revision);
    }

    /// Adds a job from its record.
    fn add_job(&mut self, id: JobId, record: JobRecord, mod_revision: u64, now: Steady) {
        let lending = (!record.lending.is_empty()).then(|| record.clone());
        let mut job = Job::new(record, mod_revision, now);
        let JobSpec { class, tasks, cpus, estimate_s, deadline_s, .. } = &job.spec;
        tracing::debug!(job = %id, ?class, tasks, cpus, estimate_s, ?deadline_s, "job added");
        if job.spec.is_service() {
            // All replicas have to run at the same time, so the start mark is requested before the first
            // plan.
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

    /// Applies the removal of a job's record at `revision`: the job has completed, or its user has cancelled
    /// it. Its remaining tasks are stopped.
    pub fn apply_job_removal(&mut self, id: &str, revision: u64) {
        let id: JobId = id.into();
        self.mark_job_readable(&id);
        if revision > self.jobs_revision {
            let ended_at = self.ended_jobs.entry(id.clone()).or_insert(0);
            *ended_at = (*ended_at).max(revision);
        }
        // The record of a borrowed job has another key prefix: the removed record with the same id belongs to
        // another job.
        let is_other = |job: &Job| job.mod_revision > revision || job.borrowed_from.is_some();
        if self.jobs.get(&id).is_some_and(is_other) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            // The job stays in the model while machines have tasks of it.
            job.mod_revision = revision;
        }
        self.end_lending(&id);
        self.end_job(&id);
    }

    /// Ends a job in this cell: stops its remaining tasks, and queues the removal of its done ranges, their
    /// copies and its start mark.
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

    /// Removes a job from the model if it has ended and none of its tasks may be running.
    pub(super) fn remove_if_cleared(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| job.ended && job.placements.is_empty()) {
            self.jobs.remove(id);
        }
    }

    /// The task numbers of a job that machines have entries of, each with its machine.
    pub(super) fn task_locations(&self, id: &JobId) -> Vec<(u32, MachineId)> {
        let mut locations = Vec::new();
        for machine in self.machines.values() {
            let tasks = machine.tasks.range(TaskKey::all_of_job(id));
            locations.extend(tasks.map(|(key, _)| (key.number, machine.id.clone())));
        }
        locations
    }

    /// The machines on which tasks of a job are running, or may be.
    pub(super) fn machines_with_tasks(&self, id: &str) -> Vec<MachineId> {
        let machines: BTreeSet<&MachineId> =
            self.jobs.get(id).iter().flat_map(|job| job.placements.values().flatten()).collect();
        machines.into_iter().cloned().collect()
    }

    /// Stops live tasks of a job on every machine: all of them, or those of one attempt. `grace_s` is the
    /// grace period in seconds. With `replace`, it also replaces the grace period of tasks that are being
    /// stopped.
    pub(super) fn stop_tasks(&mut self, id: &JobId, attempt: Option<u64>, grace_s: f64, replace: bool) {
        for machine in self.machines_with_tasks(id) {
            let Some(machine) = self.machines.get_mut(&machine) else { continue };
            for (key, task) in machine.tasks.range_mut(TaskKey::all_of_job(id)) {
                let is_selected = attempt.is_none_or(|attempt| attempt == key.attempt) && task.is_live();
                if is_selected && (replace || task.stop_grace_s.is_none()) {
                    task.stop_grace_s = Some(grace_s);
                }
            }
        }
    }

    /// Updates a task's placements in its job from the task entries of one machine.
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

    /// Updates a task's job after the task's entry was removed from its machine without a known result.
    pub(super) fn task_lost(&mut self, key: &TaskKey, machine: &MachineId) {
        self.stop_gang_attempt(&key.job, key.attempt);
        self.update_placement(&key.job, key.number, machine);
    }

    /// Stops the remaining tasks of a gang's attempt that has lost a task. A new attempt waits until none of
    /// them may be running.
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

    /// The progress of a job; `None` if this leader does not know the job or the job has ended.
    pub fn progress(&self, id: &str) -> Option<JobProgress> {
        let job = self.jobs.get(id).filter(|job| !job.ended)?;
        let placements = job.placements.iter();
        let pairs = placements.flat_map(|(number, machines)| machines.iter().map(|id| (*number, id)));
        let running = pairs.filter(|(number, machine)| self.is_running(&job.id, *number, machine)).count();
        Some(JobProgress { done: job.done.len(), running: running as u32 })
    }

    /// Whether an attempt of a task runs on a machine, according to the machine's latest heartbeat.
    fn is_running(&self, job: &JobId, number: u32, machine: &MachineId) -> bool {
        let runs = |task: &TaskEntry| {
            task.is_live() && matches!(task.stage, Some(TaskStage::Running | TaskStage::Saving))
        };
        self.machines.get(machine).is_some_and(|machine| {
            machine.tasks.range(TaskKey::all_of_task(job, number)).any(|(_, task)| runs(task))
        })
    }
}
