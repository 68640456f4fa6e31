//! Validation of submissions: which fields are required, and which values each field may have.

use serde_json::Value;

use super::JobSpec;

/// Largest number in any field for resources, sizes and durations.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum number of machine types that a submission may name.
const MAX_TYPES: usize = 32;
/// Maximum length in bytes of names in a submission.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum length in characters of a parser's error message that is shown to a user. The message may quote
/// values of any length from the submission.
const MAX_REASON_CHARS: usize = 300;
/// Maximum number of digits in a job id.
const MAX_ID_DIGITS: usize = 18;

/// Fields that a submission must contain, by their names on the wire. All other fields may be null or left
/// out.
pub const REQUIRED_FIELDS: [&str; 17] = [
    "nameId",
    "grain",
    "owner",
    "shape",
    "rank",
    "kernels",
    "cpus",
    "cards",
    "ramGb",
    "seed",
    "pullGb",
    "oneZone",
    "spread",
    "gleanings",
    "expectS",
    "stashEveryS",
    "stashS",
];
/// Fields of enum types. They must be strings: serde would also accept an object with the variant as its key.
const STRING_FIELDS: [&str; 2] = ["shape", "rank"];

/// Whether a string has the form of a job id: `wk-` and 1 to 18 digits.
pub fn is_job_id(text: &str) -> bool {
    text.strip_prefix("wk-").is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// The job id in a submission, which may be malformed otherwise. Returns `None` if no id can be read.
pub fn submitted_id(body: &[u8]) -> Option<String> {
    let submission: Value = serde_json::from_slice(body).ok()?;
    submission.get("nameId").and_then(Value::as_str).map(str::to_string)
}

/// Why a submission is malformed, as one line of text for the user.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or has a value that is not allowed.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field on the wire.
        field: String,
        /// What is wrong with the field's value.
        reason: String,
    },
    /// A field has a value of the wrong type. The text is the parser's message, which names the field.
    #[error("{0}")]
    WrongType(String),
}

impl SubmissionError {
    fn field(field: &str, reason: impl Into<String>) -> SubmissionError {
        SubmissionError::Field { field: field.into(), reason: reason.into() }
    }
}

impl JobSpec {
    /// Parses and validates a submission.
    ///
    /// # Errors
    /// The first mistake found, as one line of bounded length for the user.
    pub fn parse(body: &[u8]) -> Result<JobSpec, SubmissionError> {
        let submission: Value =
            serde_json::from_slice(body).map_err(|e| SubmissionError::NotJson(e.to_string()))?;
        let Some(fields) = submission.as_object() else {
            return Err(SubmissionError::NotAnObject);
        };
        let is_missing = |name: &&&str| fields.get(**name).is_none_or(Value::is_null);
        if let Some(name) = REQUIRED_FIELDS.iter().find(is_missing) {
            return Err(SubmissionError::field(name, "missing"));
        }
        let is_not_string = |name: &&&str| !fields.get(**name).is_some_and(Value::is_string);
        if let Some(name) = STRING_FIELDS.iter().find(is_not_string) {
            return Err(SubmissionError::field(name, "must be a string"));
        }
        let spec: JobSpec = serde_path_to_error::deserialize(submission)
            .map_err(|e| SubmissionError::WrongType(one_line(&e.to_string())))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::field("nameId", "must be wk- followed by 1 to 18 digits"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionError::field("kernels", format!("must be from 1 to {MAX_TASKS}")));
        }
        self.check_resources()?;
        self.check_durations()?;
        self.check_names()
    }

    fn check_resources(&self) -> Result<(), SubmissionError> {
        check_amount("cpus", self.cpus)?;
        check_amount("cards", self.gpus)?;
        check_amount("ramGb", self.memory_gb)?;
        if self.cpus == 0.0 && self.gpus == 0.0 && self.memory_gb == 0.0 {
            return Err(SubmissionError::field("cpus", "cpus, cards and ramGb must not all be 0"));
        }
        check_amount("pullGb", self.image_gb)
    }

    fn check_durations(&self) -> Result<(), SubmissionError> {
        check_amount("expectS", self.estimate_s)?;
        if self.estimate_s <= 0.0 && !self.is_service() {
            return Err(SubmissionError::field("expectS", "must be above 0"));
        }
        check_amount("stashEveryS", self.checkpoint_s)?;
        check_amount("stashS", self.save_s)?;
        self.deadline_s.map_or(Ok(()), |deadline_s| check_amount("dueS", deadline_s))
    }

    fn check_names(&self) -> Result<(), SubmissionError> {
        check_text("owner", &self.team)?;
        for (name, text) in [("grain", &self.class), ("seed", &self.image), ("field", &self.zone)] {
            text.as_ref().map_or(Ok(()), |text| check_text(name, text))?;
        }
        let Some(types) = &self.types else { return Ok(()) };
        if types.is_empty() || types.len() > MAX_TYPES {
            return Err(SubmissionError::field(
                "breeds",
                format!("must name 1 to {MAX_TYPES} machine types"),
            ));
        }
        types.iter().try_for_each(|name| check_text("breeds", name))
    }
}

fn check_amount(field: &str, value: f64) -> Result<(), SubmissionError> {
    if value.is_finite() && (0.0..=MAX_AMOUNT).contains(&value) {
        Ok(())
    } else {
        Err(SubmissionError::field(field, "must be a number from 0 to 1e9"))
    }
}

fn check_text(field: &str, text: &str) -> Result<(), SubmissionError> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
        Err(SubmissionError::field(
            field,
            format!("must be 1 to {MAX_TEXT_BYTES} bytes without control characters"),
        ))
    } else {
        Ok(())
    }
}

/// Shortens a reason to [`MAX_REASON_CHARS`] and replaces control characters, as it may quote the submission.
fn one_line(reason: &str) -> String {
    let printable = |c: char| if c.is_control() { ' ' } else { c };
    reason.chars().take(MAX_REASON_CHARS).map(printable).collect()
}
