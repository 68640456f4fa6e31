//! The record of a live job, and the forms in which it is stored while tasks of the job are lent.
//!
//! Versions before 0.3 know nothing of loans. They must find a job with loans, or they take it for one that has
//! ended and remove its progress; and they must neither start, cancel nor end it, since other cells hold tasks
//! of it. See docs/cells.md, "Versions".

use milletlock_cells::Lending;
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
    /// With a description of which nothing can start or be complete, which all versions read, and a
    /// [`FinalPlaceholder`] that keeps earlier ones from cancelling the job.
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

    /// Whether a stored record is a held one that 0.3.0 to 0.3.2 wrote back; see [`JobRecord::restore`].
    pub fn is_stripped(value: &Value) -> bool {
        let description = value.get("spec").or_else(|| value.get("spec_of_lent"));
        let types = description.and_then(|description| description.get("breeds")).and_then(Value::as_array);
        types.is_some_and(Vec::is_empty) && value.get("held").is_none()
    }

    /// A held record that 0.3.0 to 0.3.2 wrote back: they drop the fields of the job's own description, which
    /// the placeholder still has.
    ///
    /// # Errors
    /// If it is no such record.
    pub fn restore(value: Value, placeholder: FinalPlaceholder) -> Result<JobRecord, JobRecordError> {
        let stored: StoredJobRecord = serde_json::from_value(value)?;
        let description = stored.spec.or(stored.spec_of_lent).ok_or(JobRecordError::NoSpec)?;
        let submitted_us = placeholder.held.submitted_us;
        Ok(JobRecord {
            spec: placeholder.held.apply_to(description)?,
            submitted_us,
            start_mark: stored.start_mark,
            lending: stored.lending,
            lent_form: LentForm::Hidden,
        })
    }
}

/// What stands under `final/<id>` while a job with loans is live: versions before 0.3 cancel and end jobs only
/// where there is no such key. It is no final record, so that no version takes the job for ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalPlaceholder {
    held: OwnFields,
}

impl FinalPlaceholder {
    /// The placeholder of a job.
    pub fn new(record: &JobRecord) -> FinalPlaceholder {
        FinalPlaceholder { held: OwnFields::of(record) }
    }
}

/// The fields of a job's own record in which the held one differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OwnFields {
    #[serde(rename = "breeds")]
    types: Option<Vec<String>>,
    #[serde(rename = "kernels")]
    tasks: u32,
    submitted_us: i64,
}

impl OwnFields {
    fn of(record: &JobRecord) -> OwnFields {
        let JobSpec { types, tasks, .. } = &record.spec;
        OwnFields { types: types.clone(), tasks: *tasks, submitted_us: record.submitted_us }
    }

    /// The job's own description, from the held one.
    fn apply_to(self, held: JobSpec) -> Result<JobSpec, JobRecordError> {
        if !is_held(&held) || held.tasks != held_tasks(self.tasks) {
            return Err(JobRecordError::NotHeld);
        }
        Ok(JobSpec { types: self.types, tasks: self.tasks, ..held })
    }
}

/// When a held job counts as accepted, in microseconds since 1970: in 2100, later than any other. Teams' guaranteed
/// parts are given out by age, and one that starts nothing must not take its team's from jobs that could start.
const HELD_SUBMITTED_US: i64 = 4_102_444_800_000_000;

/// The description of a job with loans for versions before 0.3. No machine type is allowed, so that no task
/// starts. The job has one task more than there is, so that it is never complete: a refused end would hold up
/// the urgent writes that such a version puts into the same transaction.
fn held_spec(spec: JobSpec) -> JobSpec {
    JobSpec { types: Some(Vec::new()), tasks: held_tasks(spec.tasks), ..spec }
}

fn held_tasks(tasks: u32) -> u32 {
    tasks.saturating_add(1)
}

/// Whether a description is one for versions before 0.3. No user's is: a submission has to allow some type.
fn is_held(spec: &JobSpec) -> bool {
    spec.types.as_ref().is_some_and(Vec::is_empty)
}

/// Why a record of a job cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JobRecordError {
    /// It has no description.
    #[error("no description of the job")]
    NoSpec,
    /// It has two descriptions.
    #[error("two descriptions of the job")]
    TwoSpecs,
    /// It is held, but has no loans.
    #[error("the record of a job with loans names none")]
    NoLoans,
    /// It says what its description differs in from a held one, which it is not.
    #[error("the description is not one of a held job")]
    NotHeld,
    /// 0.3.0 to 0.3.2 wrote a held record back; see [`JobRecord::restore`].
    #[error("the description of a held job without the job's own fields")]
    Stripped,
    /// It is damaged in another way.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

/// The record as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredJobRecord {
    /// The description, for all versions; of a held job the held one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// The description in the hidden form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec_of_lent: Option<JobSpec>,
    submitted_us: i64,
    #[serde(rename = "high", default, skip_serializing_if = "is_zero")]
    start_mark: u32,
    #[serde(default, skip_serializing_if = "Lending::is_empty")]
    lending: Lending,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    held: Option<OwnFields>,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl From<JobRecord> for StoredJobRecord {
    fn from(record: JobRecord) -> StoredJobRecord {
        let own = record.has_placeholder().then(|| OwnFields::of(&record));
        let JobRecord { spec, submitted_us, start_mark, lending, lent_form } = record;
        let mut stored =
            StoredJobRecord { spec: None, spec_of_lent: None, submitted_us, start_mark, lending, held: own };
        match lent_form {
            _ if stored.lending.is_empty() => stored.spec = Some(spec),
            LentForm::Held => {
                stored.submitted_us = HELD_SUBMITTED_US;
                stored.spec = Some(held_spec(spec));
            }
            LentForm::Hidden => stored.spec_of_lent = Some(spec),
        }
        stored
    }
}

impl TryFrom<StoredJobRecord> for JobRecord {
    type Error = JobRecordError;

    fn try_from(stored: StoredJobRecord) -> Result<JobRecord, JobRecordError> {
        let StoredJobRecord { spec, spec_of_lent, submitted_us, start_mark, lending, held } = stored;
        let description = match (spec, spec_of_lent) {
            (None, None) => return Err(JobRecordError::NoSpec),
            (Some(_), Some(_)) => return Err(JobRecordError::TwoSpecs),
            (Some(spec), None) | (None, Some(spec)) => spec,
        };
        let (spec, submitted_us, lent_form) = match held {
            Some(_) if lending.is_empty() => return Err(JobRecordError::NoLoans),
            Some(own) => {
                let submitted_us = own.submitted_us;
                (own.apply_to(description)?, submitted_us, LentForm::Held)
            }
            None if is_held(&description) => return Err(JobRecordError::Stripped),
            None if lending.is_empty() => (description, submitted_us, LentForm::default()),
            None => (description, submitted_us, LentForm::Hidden),
        };
        Ok(JobRecord { spec, submitted_us, start_mark, lending, lent_form })
    }
}
