//! A simulated controller that leads: it claims the shard, reads changes, writes and reads back like
//! the real one. Leases, lost connections and when it takes its turn each simulation models for itself.
//! Tests with whole controllers (`Controller`) do not need it.

use std::sync::Arc;

use milletlock::config::Config;
use milletlock::fleet::Fleet;
use milletlock::leadership::{self, Batch};
use milletlock::records::JobRecord;
use milletlock::time::{Micros, Steady};
use milletlock::wire::{Change, Txn};
use serde_json::json;

use super::clock::wall_at;
use super::store::Store;
use super::types;

/// What a new leader reads before it does anything.
const RECORDS: [&str; 6] = ["recent", "job/", "machine", "marks/", "done/", "hist/"];

/// A controller that has claimed everything.
pub struct SimulatedController {
    pub fleet: Fleet,
    /// The revision of the shard's record as it claimed it.
    pub shard_revision: u64,
    /// The revision up to which it has read the jobs' changes.
    pub watched: u64,
}

impl SimulatedController {
    /// Claims everything with the next fencing token and reads all records. Earlier leaders do not notice.
    pub fn claim(store: &mut Store, cfg: &Arc<Config>, now: Steady) -> SimulatedController {
        let fencing_token = store.row("term").and_then(|r| r.value.as_u64()).unwrap_or(0) + 1;
        let then = vec![
            Change::put("term", json!(fencing_token)),
            Change::put(leadership::SHARD_KEY, json!(fencing_token)),
        ];
        let shard_revision = store.txn(&Txn { guards: vec![], then }).expect("no guards");
        let mut fleet = Fleet::new(cfg.clone(), types(), fencing_token, now);
        let rows = RECORDS.iter().flat_map(|prefix| store.rows(prefix)).collect();
        leadership::load_records(&mut fleet, rows, now, wall_at(now));
        SimulatedController { fleet, shard_revision, watched: store.revision }
    }

    /// Whether it still holds the shard, as far as the state store knows.
    pub fn holds_shard(&self, store: &Store) -> bool {
        self.shard_revision == store.mod_revision(leadership::SHARD_KEY)
    }

    /// Reads the jobs' changes since the last time.
    pub fn read_changes(&mut self, store: &Store, now: Steady) {
        for (revision, key, value) in store.changes_since(self.watched) {
            let Some(id) = key.strip_prefix("job/") else { continue };
            match value {
                Some(v) => {
                    let record: JobRecord = serde_json::from_value(v.clone()).expect("a job's record");
                    self.fleet.apply_job_record(record, *revision, now);
                }
                None => self.fleet.apply_job_removal(id, *revision),
            }
        }
        self.watched = store.revision;
    }

    /// The transactions that it would write now; done ranges may wait for a while.
    pub fn batches(&mut self, done_delay: Micros, chunk: u32, now: Steady) -> Vec<Batch> {
        let pending = self.fleet.pending_writes(now, done_delay, chunk);
        leadership::batches(&mut self.fleet, self.shard_revision, pending, 8, now, wall_at(now))
    }

    /// Learns the result of a transaction (none: no reply). The error names the keys to read back.
    pub fn acknowledge(
        &mut self,
        batch: &Batch,
        result: Option<Result<u64, Vec<String>>>,
        now: Steady,
    ) -> Result<(), Vec<String>> {
        match result {
            Some(Ok(revision)) => {
                for composed in &batch.writes {
                    self.fleet.write_applied(&composed.write, revision, &composed.contents, now);
                }
                Ok(())
            }
            Some(Err(failed)) => Err(failed),
            None => Err(batch.txn.guards.iter().map(|g| g.key.clone()).collect()),
        }
    }

    /// Reads keys back, except the shard's own.
    pub fn read_back(&mut self, keys: &[String], store: &Store, now: Steady) {
        for key in keys.iter().filter(|k| *k != leadership::SHARD_KEY) {
            leadership::update_from_store(&mut self.fleet, key, store.row(key), now);
        }
    }
}
