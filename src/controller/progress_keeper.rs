//! Keeps the progress of jobs with loans while the leader is of a version that keeps no copies of it.
//!
//! Such a leader removes the progress of lent jobs, or writes it without copies, and forgets the results of
//! their tasks (docs/cells.md). A follower of this version adds to the copies the progress that is still
//! stored and the results that workers have reported to the follower.

use std::collections::BTreeSet;

use milletlock_cells::TaskSet;

use super::versions::keeps_progress_copies;
use super::Controller;
use crate::leadership::{self, JobWithLoans, ProgressError};
use crate::state::{RequestPriority, TxnOutcome};
use crate::time::{Micros, Steady};
use crate::wire::{LentProgressStatus, Txn};

/// Largest number of jobs that one round reads, with three requests each. The rest of the allowed request
/// rate is left to users' requests.
const MAX_JOBS_PER_ROUND: usize = 8;
/// Shortest pause between two rounds.
const MIN_PAUSE: Micros = Micros::from_millis(1_000);
/// Shortest pause after a round, as a multiple of the round's duration.
const PAUSE_PER_ROUND_DURATION: f64 = 20.0;

/// State of the rounds in which a follower copies the progress of jobs with loans.
#[derive(Debug, Default)]
pub struct ProgressKeeper {
    /// The earliest time at which the next round may begin.
    next_round_at: Steady,
    /// The rotation among jobs with reported results.
    with_results: Rotation,
    /// The rotation among the other jobs.
    without_results: Rotation,
    /// Ids of the jobs whose copies were complete after they were last read.
    copied: BTreeSet<String>,
    /// Texts of the errors of unreadable records; each is logged once.
    unreadable: BTreeSet<String>,
}

impl ProgressKeeper {
    /// Logs a failed read; an unreadable record is logged once.
    fn log_error(&mut self, error: &ProgressError) {
        let text = error.to_string();
        match error {
            ProgressError::Store(_) => tracing::debug!(error = text, "progress of lent jobs not read"),
            _ if self.unreadable.insert(text.clone()) => {
                tracing::error!(error = text, "record unreadable, progress not copied");
            }
            _ => {}
        }
    }

    /// Records whether the copies of a job's progress are complete.
    fn record_copy(&mut self, job: &JobWithLoans, is_complete: bool) {
        if is_complete {
            self.copied.insert(job.id.to_string());
        } else {
            self.copied.remove(&*job.id);
        }
    }

    /// The jobs that the next round reads: first jobs with reported results, then others, and at least one of
    /// the others if there are any. Within each group, the jobs take turns, so that a round reads those that
    /// have not been read for the longest time.
    fn next_jobs(&mut self, jobs: Vec<JobWithLoans>, reported: &BTreeSet<String>) -> Vec<JobWithLoans> {
        let (with_results, others): (Vec<_>, Vec<_>) =
            jobs.into_iter().partition(|job| reported.contains(&*job.id));
        let reserved_for_others = usize::from(!others.is_empty());
        let mut next = self.with_results.take(with_results, MAX_JOBS_PER_ROUND - reserved_for_others);
        let remaining = MAX_JOBS_PER_ROUND - next.len();
        next.extend(self.without_results.take(others, remaining));
        next
    }
}

/// Lets jobs take turns: the next jobs are those whose ids follow the id of the job that was taken last.
/// After the last id the order begins again with the first one.
#[derive(Debug, Default)]
struct Rotation {
    /// The id of the job that was taken last.
    last: String,
}

impl Rotation {
    /// Takes the next jobs, at most `count`.
    fn take(&mut self, mut jobs: Vec<JobWithLoans>, count: usize) -> Vec<JobWithLoans> {
        jobs.sort_by_key(|job| (*job.id <= *self.last, job.id.clone()));
        jobs.truncate(count);
        if let Some(last) = jobs.last() {
            self.last = last.id.to_string();
        }
        jobs
    }
}

impl Controller {
    /// Performs one round if it is due and the leader, another controller, is of a version that keeps no
    /// copies.
    pub fn keep_progress_once(&self, keeper: &mut ProgressKeeper) {
        let started_at = self.now();
        self.lock().reported_results.drop_expired(started_at);
        if !self.follows_leader_without_copies() {
            keeper.copied.clear();
            self.lock().lent_progress = None;
            return;
        }
        if started_at < keeper.next_round_at {
            return;
        }
        if let Err(error) = self.copy_progress(keeper) {
            keeper.log_error(&error);
        }
        let duration = self.now() - started_at;
        keeper.next_round_at = self.now() + duration.scale(PAUSE_PER_ROUND_DURATION).max(MIN_PAUSE);
    }

    /// Whether another controller leads whose version keeps no copies of the progress of lent jobs.
    fn follows_leader_without_copies(&self) -> bool {
        let shared = self.lock();
        let leader = shared.leader.as_ref().filter(|_| shared.leadership.is_none());
        let version = leader.and_then(|leader| shared.peer_versions.get(&leader.label));
        version.is_some_and(|version| !keeps_progress_copies(version))
    }

    /// Completes the copies of some jobs, and counts the jobs with and without complete copies.
    fn copy_progress(&self, keeper: &mut ProgressKeeper) -> Result<(), ProgressError> {
        let mut unreadable = 0;
        let jobs = leadership::read_jobs_with_loans(&self.state, |error| {
            unreadable += 1;
            keeper.log_error(error);
        })?;
        keeper.copied.retain(|copied| jobs.iter().any(|job| *job.id == **copied));
        let job_count = jobs.len() + unreadable;
        let hidden_records = jobs.iter().filter(|job| job.is_hidden).count();
        let copied = self.copy_progress_of(jobs, keeper);
        let without_copies = job_count - keeper.copied.len();
        self.lock().lent_progress = Some(LentProgressStatus {
            jobs: job_count as u32,
            without_copies: without_copies as u32,
            hidden_records: hidden_records as u32,
        });
        copied
    }

    /// Completes the copies of those of `jobs` whose turn it is.
    fn copy_progress_of(
        &self,
        jobs: Vec<JobWithLoans>,
        keeper: &mut ProgressKeeper,
    ) -> Result<(), ProgressError> {
        if jobs.is_empty() {
            return Ok(());
        }
        let reported = self.lock().reported_results.iter().map(|(job, _)| job.to_string()).collect();
        let start_marks = leadership::read_start_marks(&self.state)?;
        for job in keeper.next_jobs(jobs, &reported) {
            let results = self.lock().reported_results.tasks_of(&job.id);
            match job.read_progress(&self.state, &start_marks) {
                Ok(progress) => {
                    let txns = progress.missing_copies(&results, self.config.max_value_bytes());
                    let written = txns.iter().filter(|txn| self.write_copy(&job, &results, txn)).count();
                    keeper.record_copy(&job, written == txns.len());
                }
                Err(error) => {
                    keeper.record_copy(&job, false);
                    keeper.log_error(&error);
                }
            }
        }
        Ok(())
    }

    /// Writes a copy; returns whether it is stored. After a conflict or an unknown outcome the next round
    /// reads the job's progress again.
    fn write_copy(&self, job: &JobWithLoans, reported: &TaskSet, txn: &Txn) -> bool {
        match self.state.txn(txn, RequestPriority::Background) {
            Ok(TxnOutcome::Committed(_)) => {
                tracing::info!(job = %job.id, heard = reported.len(), "progress of lent job copied");
                return true;
            }
            Ok(TxnOutcome::Conflict(keys)) => {
                tracing::debug!(job = %job.id, ?keys, "progress of lent job changed while it was copied");
            }
            Err(error) => tracing::info!(job = %job.id, %error, "progress of lent job not copied"),
        }
        false
    }
}
