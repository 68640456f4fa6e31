//! Submissions with one field changed or left out.

use serde_json::Value;

/// The same with one field changed.
pub fn with_field(job: &Value, name: &str, v: Value) -> Value {
    let mut job = job.clone();
    job[name] = v;
    job
}

/// The same without one field.
pub fn without_field(job: &Value, name: &str) -> Value {
    let mut job = job.clone();
    job.as_object_mut().expect("an object").remove(name);
    job
}
