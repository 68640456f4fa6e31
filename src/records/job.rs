//! The record of a live job, and the forms in which it is stored while tasks of the job are lent.
//!
//! Versions before 0.3 have no loans. If such a version cannot read the record of a job with loans, it
//! assumes that the job has ended and deletes its progress. If it can read the record, it must neither
//! start, cancel nor end the job, since other cells have borrowed tasks of it. The *held* form meets both
//! conditions: these versions can read the record, but it allows them to start no task, and a placeholder
//! under the key of the final record prevents them from cancelling or ending the job. See docs/cells.md,
//! "Versions".

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
    /// When the job was accepted, in microseconds since 1970 (UTC).
    pub submitted_us: i64,
    /// Tasks with numbers below this start mark may have been started. The start mark is stored in this
    /// record if the job has loans. Versions without packed start marks always stored it here. In all other
    /// cases it is stored under [`crate::keys::START_MARKS_PREFIX`].
    pub start_mark: u32,
    /// Loans to other cells, and whether the job is being cancelled while loans are open.
    pub lending: Lending,
    /// The form in which the record is stored while the job has loans.
    pub lent_form: LentForm,
}

/// The form in which the record of a job with loans is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LentForm {
    /// All versions can read the record, but versions before 0.3 cannot start any task of the job and never
    /// see it complete. A [`FinalPlaceholder`] prevents them from cancelling or ending the job.
    #[default]
    Held,
    /// The form that 0.3.0 to 0.3.2 write. Versions before 0.3 cannot read the record.
    Hidden,
}

impl JobRecord {
    /// Creates the record of a job that has just been accepted.
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

    /// Whether a stored record is a held record that 0.3.0 to 0.3.2 have rewritten without its field `held`;
    /// see [`JobRecord::restore`].
    pub fn is_stripped(value: &Value) -> bool {
        let description = value.get("spec").or_else(|| value.get("spec_of_lent"));
        let types = description.and_then(|description| description.get("breeds")).and_then(Value::as_array);
        types.is_some_and(Vec::is_empty) && value.get("held").is_none()
    }

    /// Restores a held record that 0.3.0 to 0.3.2 have rewritten. They write it without the field `held`,
    /// which contains the job's own values of the fields that differ in the held form. The placeholder
    /// contains the same values.
    ///
    /// # Errors
    /// If `value` is not such a record, or the placeholder does not match it.
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

/// The value under `final/<id>` while a job with loans is live. Versions before 0.3 cancel and end a job
/// only if this key does not exist. The value cannot be decoded as a final record, so that no version takes
/// the job for ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalPlaceholder {
    held: OwnFields,
}

impl FinalPlaceholder {
    /// Creates the placeholder that is stored with a record.
    pub fn new(record: &JobRecord) -> FinalPlaceholder {
        FinalPlaceholder { held: OwnFields::of(record) }
    }
}

/// The job's own values of the fields that have other values in the held form of the record.
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

    /// Returns the job's own description, given the held one.
    fn apply_to(self, held: JobSpec) -> Result<JobSpec, JobRecordError> {
        if !is_held(&held) || held.tasks != held_task_count(self.tasks) {
            return Err(JobRecordError::NotHeld);
        }
        Ok(JobSpec { types: self.types, tasks: self.tasks, ..held })
    }
}

/// The time of acceptance in the held form of a record, in microseconds since 1970: the year 2100, later than
/// any other job. Versions before 0.3 assign a team's guaranteed quota to its oldest jobs first. A held job
/// cannot start under them and must not take that quota from jobs that can.
const HELD_SUBMITTED_US: i64 = 4_102_444_800_000_000;

/// The description in the held form of a record, which is made for versions before 0.3. It allows no machine
/// type, so that these versions start no task. It has one task more than the job, so that the job never
/// becomes complete. Otherwise such a version would try to write the job's end, which the placeholder
/// prevents; this would also fail the urgent writes in the same transaction.
fn held_spec(spec: JobSpec) -> JobSpec {
    JobSpec { types: Some(Vec::new()), tasks: held_task_count(spec.tasks), ..spec }
}

/// Number of tasks in the held form of a job with `tasks` tasks.
fn held_task_count(tasks: u32) -> u32 {
    tasks.saturating_add(1)
}

/// Whether a description is one of the held form. A user's description never is: a submission has to allow at
/// least one machine type.
fn is_held(spec: &JobSpec) -> bool {
    spec.types.as_ref().is_some_and(Vec::is_empty)
}

/// Why the record of a job cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JobRecordError {
    /// The record has no description of the job.
    #[error("the job record has no description of the job")]
    NoSpec,
    /// The record has both descriptions, the one for all versions and the one of the hidden form.
    #[error("the job record has two descriptions of the job")]
    TwoSpecs,
    /// The record has the held form but no loans.
    #[error("the job record has the held form but contains no loans")]
    NoLoans,
    /// The record or placeholder has the job's own fields, but the description is not the held form of a job
    /// with these fields.
    #[error("the description in the job record is not the held form of the job")]
    NotHeld,
    /// The record has the description of a held job but not the field `held`, because 0.3.0 to 0.3.2 have
    /// rewritten it; see [`JobRecord::restore`].
    #[error("the job record has the description of a held job but not the job's own fields")]
    Stripped,
    /// The record cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

/// The record of a live job as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredJobRecord {
    /// The description that all versions read: the job's own, or the held one in the held form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// The job's own description in the hidden form, which versions before 0.3 do not read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spec_of_lent: Option<JobSpec>,
    /// When the job was accepted, or [`HELD_SUBMITTED_US`] in the held form.
    submitted_us: i64,
    #[serde(rename = "high", default, skip_serializing_if = "is_zero")]
    start_mark: u32,
    #[serde(default, skip_serializing_if = "Lending::is_empty")]
    lending: Lending,
    /// In the held form, the job's own values of the fields that the held form replaces.
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
