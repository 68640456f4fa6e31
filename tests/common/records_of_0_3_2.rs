//! The record of a job as versions 0.3.0 to 0.3.2 read and write it (`JobRecord` in their src/records.rs).

use milletlock::records::{JobRecord, LentForm};
use milletlock::wire::{Change, Guard, JobSpec, Txn};
use milletlock_cells::Lending;
use serde::Deserialize;
use serde_json::{json, Value};

use super::store::Store;

/// The record. Like those versions, it drops all other fields when the record is written back.
#[derive(Debug, Deserialize)]
pub struct RecordOf0_3_2 {
    #[serde(alias = "spec_of_lent")]
    pub spec: JobSpec,
    pub submitted_us: i64,
    #[serde(rename = "high", default)]
    pub start_mark: u32,
    #[serde(default)]
    pub lending: Lending,
}

impl RecordOf0_3_2 {
    /// The record in the form in which it is stored.
    fn encode(&self) -> Value {
        let mut value = json!({ "submitted_us": self.submitted_us, "high": self.start_mark });
        if self.lending.is_empty() {
            value["spec"] = json!(self.spec);
        } else {
            value["spec_of_lent"] = json!(self.spec);
            value["lending"] = json!(self.lending);
        }
        value
    }
}

impl Store {
    /// Replaces the record of a job with loans, which this version wrote, by the record that 0.3.2 would have
    /// written.
    pub fn lend_as_0_3_2(&mut self, id: &str) {
        let key = format!("job/{id}");
        let mut record: JobRecord =
            serde_json::from_value(self.row(&key).expect("the job").value).expect("a record");
        record.lent_form = LentForm::Hidden;
        self.keys.remove(&format!("final/{id}"));
        self.txn(&Txn { guards: Vec::new(), then: vec![Change::put(key, json!(record))] }).expect("written");
    }

    /// Applies `change` to the loans of a job, and writes the record back as a leader of 0.3.2 does.
    pub fn rewrite_as_0_3_2(&mut self, id: &str, change: impl FnOnce(&mut Lending)) {
        let key = format!("job/{id}");
        let row = self.row(&key).expect("the job");
        let mut record: RecordOf0_3_2 = serde_json::from_value(row.value).expect("0.3.2 reads the record");
        change(&mut record.lending);
        let guards = vec![Guard { key: key.clone(), mod_revision: row.mod_revision }];
        self.txn(&Txn { guards, then: vec![Change::put(key, record.encode())] }).expect("written");
    }
}
