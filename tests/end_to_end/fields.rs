//! Changes single fields of submissions.

use serde_json::Value;

/// A copy of a submission with one field changed.
pub fn with_field(job: &Value, name: &str, v: Value) -> Value {
    let mut job = job.clone();
    job[name] = v;
    job
}

/// A copy of a submission without one field.
pub fn without_field(job: &Value, name: &str) -> Value {
    let mut job = job.clone();
    job.as_object_mut().expect("an object").remove(name);
    job
}
