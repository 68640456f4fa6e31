//! The record of a live job, and the forms in which it is stored while tasks of the job are lent.
//!
//! Versions before 0.3 know nothing of loans. They must find a job with loans, or they take it for one that has
//! ended and remove its progress; and they must neither start, cancel nor end it, since other cells hold tasks
//! of it. See docs/cells.md, "Versions".

use milletlock_cells::Lending;
use serde::{Deserialize, Serialize};

use crate::wire::JobSpec;

/// The record of a live job, under `job/<id>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "StoredJobRecord", into = "StoredJobRecord")]
pub struct JobRecord {
    /// The job as its user described it.
    pub spec: JobSpec,
    /// When it was accepted, in microseconds since 1970 (UTC).
    pub submitted_us: i64,
    /// Tasks with lower numbers may have been started. Versions without packed start marks wrote it here, and it
    /// is written here with loans; otherwise it is under [`crate::keys::START_MARKS_PREFIX`].
    pub start_mark: u32,
    /// Loans to other cells, and whether the job is being cancelled while some are open.
    pub lending: Lending,
    /// How the record is stored while the job has loans.
    pub lent_form: LentForm,
}

/// How the record of a job with loans is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LentForm {
    /// With two descriptions: versions before 0.3 read one of which they can start and end nothing, and a
    /// [`FinalPlaceholder`] keeps them from cancelling the job. 0.3.0 to 0.3.2 cannot read the record.
    #[default]
    Held,
    /// As 0.3.0 to 0.3.2 write it: versions before 0.3 cannot read the record.
    Hidden,
}

impl JobRecord {
    /// The record of a job that has just been accepted.
    pub fn new(spec: JobSpec, submitted_us: i64) -> JobRecord {
        JobRecord {
            spec,
            submitted_us,
            start_mark: 0,
            lending: Lending::default(),
            lent_form: LentForm::default(),
        }
    }

    /// Whether a [`FinalPlaceholder`] is stored with the record.
    pub fn has_placeholder(&self) -> bool {
        !self.lending.is_empty() && self.lent_form == LentForm::Held
    }
}

/// What stands under `final/<id>` while a job with loans is live: versions before 0.3 cancel and end jobs only
/// where there is no such key. It is no final record, so that no version takes the job for ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalPlaceholder {
    held: bool,
}

impl FinalPlaceholder {
    /// The placeholder.
    pub const HELD: FinalPlaceholder = FinalPlaceholder { held: true };
}

/// Why a record of a job cannot be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobRecordError {
    /// It has no description.
    #[error("no description of the job")]
    NoSpec,
    /// It has the descriptions of a job with loans, but no loans.
    #[error("the record of a job with loans names none")]
    NoLoans,
    /// Its descriptions are of two jobs.
    #[error("descriptions of two jobs, {0} and {1}")]
    TwoJobs(String, String),
}

/// The record as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredJobRecord {
    /// The description that versions before 0.3 read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// The description of a job with loans.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec_of_lent: Option<JobSpec>,
    submitted_us: i64,
    #[serde(rename = "high", default, skip_serializing_if = "is_zero")]
    start_mark: u32,
    #[serde(default, skip_serializing_if = "Lending::is_empty")]
    lending: Lending,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The description of a job with loans for versions before 0.3. No machine type is allowed, so that no task
/// starts. The job has one task more than there is, so that it is never complete: a refused end would hold up
/// the urgent writes that such a version puts into the same transaction.
fn held_spec(spec: &JobSpec) -> JobSpec {
    JobSpec { types: Some(Vec::new()), tasks: spec.tasks.saturating_add(1), ..spec.clone() }
}

impl From<JobRecord> for StoredJobRecord {
    fn from(record: JobRecord) -> StoredJobRecord {
        let JobRecord { spec, submitted_us, start_mark, lending, lent_form } = record;
        let (spec, spec_of_lent) = match lent_form {
            _ if lending.is_empty() => (Some(spec), None),
            LentForm::Held => (Some(held_spec(&spec)), Some(spec)),
            LentForm::Hidden => (None, Some(spec)),
        };
        StoredJobRecord { spec, spec_of_lent, submitted_us, start_mark, lending }
    }
}

impl TryFrom<StoredJobRecord> for JobRecord {
    type Error = JobRecordError;

    fn try_from(stored: StoredJobRecord) -> Result<JobRecord, JobRecordError> {
        let StoredJobRecord { spec, spec_of_lent, submitted_us, start_mark, lending } = stored;
        let (spec, lent_form) = match (spec, spec_of_lent) {
            (None, None) => return Err(JobRecordError::NoSpec),
            (Some(_), Some(_)) if lending.is_empty() => return Err(JobRecordError::NoLoans),
            (Some(held), Some(spec)) if held.id != spec.id => {
                return Err(JobRecordError::TwoJobs(held.id, spec.id));
            }
            (Some(_), Some(spec)) => (spec, LentForm::Held),
            (Some(spec), None) if lending.is_empty() => (spec, LentForm::default()),
            // No placeholder was written with it.
            (Some(spec), None) | (None, Some(spec)) => (spec, LentForm::Hidden),
        };
        Ok(JobRecord { spec, submitted_us, start_mark, lending, lent_form })
    }
}
