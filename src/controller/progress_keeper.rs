//! Keeping the progress of jobs with loans while a leader leads that keeps no copies of it.
//!
//! A leader of a version before copies removes the progress of lent jobs, or writes it without copies, and forgets
//! the results of their tasks (docs/cells.md). A follower of this version beside it adds to the copies what is
//! still stored, and what workers have reported to it.

use std::collections::BTreeSet;

use milletlock_cells::TaskSet;

use super::versions::keeps_progress_copies;
use super::Controller;
use crate::leadership::{self, JobWithLoans, ProgressError};
use crate::state::{RequestPriority, TxnOutcome};
use crate::time::{Micros, Steady};
use crate::wire::{LentProgressStatus, Txn};

/// Most jobs that one round reads, three requests each: users' requests need the rest of the allowed rate.
const MAX_JOBS_PER_ROUND: usize = 8;
/// Pause between two rounds, and the multiple of a round's duration that it lasts at least.
const MIN_PAUSE: Micros = Micros::from_millis(1_000);
const PAUSE_PER_ROUND: f64 = 20.0;

/// Where the rounds stand.
#[derive(Debug, Default)]
pub struct ProgressKeeper {
    /// The next round begins no sooner.
    next_round: Steady,
    /// Turns of the jobs with results that were heard of.
    with_results: Rotation,
    /// Turns of the others.
    without_results: Rotation,
    /// Jobs whose progress was copied whole when they were last read.
    copied: BTreeSet<String>,
    /// Errors of rows that cannot be read, which are logged once.
    unreadable: BTreeSet<String>,
}

impl ProgressKeeper {
    /// Logs that a row cannot be read, once.
    fn note_error(&mut self, error: &ProgressError) {
        let text = error.to_string();
        match error {
            ProgressError::Store(_) => tracing::debug!(error = text, "progress of lent jobs not read"),
            _ if self.unreadable.insert(text.clone()) => {
                tracing::error!(error = text, "record unreadable, progress not copied");
            }
            _ => {}
        }
    }

    /// Notes whether a job's progress is copied whole.
    fn note_copied(&mut self, job: &JobWithLoans, is_whole: bool) {
        if is_whole {
            self.copied.insert(job.id.to_string());
        } else {
            self.copied.remove(&*job.id);
        }
    }

    /// The jobs of the next round: first those with results that were heard of, then others, at least one if
    /// there is any. Of either those that were not read for the longest time.
    fn next_jobs(&mut self, jobs: Vec<JobWithLoans>, heard: &BTreeSet<String>) -> Vec<JobWithLoans> {
        let (with_results, others): (Vec<_>, Vec<_>) =
            jobs.into_iter().partition(|job| heard.contains(&*job.id));
        let kept_for_others = usize::from(!others.is_empty());
        let mut next = self.with_results.take(with_results, MAX_JOBS_PER_ROUND - kept_for_others);
        let room = MAX_JOBS_PER_ROUND - next.len();
        next.extend(self.without_results.take(others, room));
        next
    }
}

/// Takes turns among jobs, in the order of their ids.
#[derive(Debug, Default)]
struct Rotation {
    /// The job that was taken last.
    last: String,
}

impl Rotation {
    /// The next jobs, `count` at the most.
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
    /// One round, if it is due and this controller follows a leader without copies.
    pub fn keep_progress_once(&self, keeper: &mut ProgressKeeper) {
        let begun = self.now();
        self.lock().reported_results.drop_expired(begun);
        if !self.follows_leader_without_copies() {
            keeper.copied.clear();
            self.lock().lent_progress = None;
            return;
        }
        if begun < keeper.next_round {
            return;
        }
        if let Err(error) = self.copy_progress(keeper) {
            keeper.note_error(&error);
        }
        let duration = self.now() - begun;
        keeper.next_round = self.now() + duration.scale(PAUSE_PER_ROUND).max(MIN_PAUSE);
    }

    fn follows_leader_without_copies(&self) -> bool {
        let shared = self.lock();
        let leader = shared.leader.as_ref().filter(|_| shared.leadership.is_none());
        let version = leader.and_then(|leader| shared.peer_versions.get(&leader.label));
        version.is_some_and(|version| !keeps_progress_copies(version))
    }

    /// Adds to the copies of some jobs what they lack.
    fn copy_progress(&self, keeper: &mut ProgressKeeper) -> Result<(), ProgressError> {
        let mut unreadable = 0;
        let jobs = leadership::read_jobs_with_loans(&self.state, |error| {
            unreadable += 1;
            keeper.note_error(error);
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

    /// Adds to the copies of those jobs whose turn it is.
    fn copy_progress_of(
        &self,
        jobs: Vec<JobWithLoans>,
        keeper: &mut ProgressKeeper,
    ) -> Result<(), ProgressError> {
        if jobs.is_empty() {
            return Ok(());
        }
        let heard = self.lock().reported_results.iter().map(|(job, _)| job.to_string()).collect();
        let start_marks = leadership::read_start_marks(&self.state)?;
        for job in keeper.next_jobs(jobs, &heard) {
            let results = self.lock().reported_results.of(&job.id);
            match job.read_progress(&self.state, &start_marks) {
                Ok(progress) => {
                    let txns = progress.missing_copies(&results, self.config.value_bytes());
                    let written = txns.iter().filter(|txn| self.write_copy(&job, &results, txn)).count();
                    keeper.note_copied(&job, written == txns.len());
                }
                Err(error) => {
                    keeper.note_copied(&job, false);
                    keeper.note_error(&error);
                }
            }
        }
        Ok(())
    }

    /// Writes a copy; whether it is stored. After a conflict or an unknown outcome the next round reads anew.
    fn write_copy(&self, job: &JobWithLoans, heard: &TaskSet, txn: &Txn) -> bool {
        match self.state.txn(txn, RequestPriority::Background) {
            Ok(TxnOutcome::Committed(_)) => {
                tracing::info!(job = %job.id, heard = heard.len(), "progress of lent job copied");
                return true;
            }
            Ok(TxnOutcome::Conflict(keys)) => {
                tracing::debug!(job = %job.id, ?keys, "progress of lent job changed meanwhile");
            }
            Err(error) => tracing::info!(job = %job.id, %error, "progress of lent job not copied"),
        }
        false
    }
}
