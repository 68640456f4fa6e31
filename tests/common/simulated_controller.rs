//! A simulated controller that leads. It takes the shard, reads changes, writes records and reads them back
//! like the real controller. Each simulation models leases, lost connections and the order of events itself.
//! Tests that run complete controllers (`Controller`) do not need it.

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

/// Key prefixes of the records that a new leader reads before it acts.
const RECORDS: [&str; 6] = ["recent", "job/", "machine", "marks/", "done/", "hist/"];

/// A controller that has won an election.
pub struct SimulatedController {
    pub fleet: Fleet,
    /// The revision of the shard's record as this controller wrote it when it was elected.
    pub shard_revision: u64,
    /// The revision up to which this controller has read the changes to jobs' records.
    pub watched_revision: u64,
}

impl SimulatedController {
    /// Wins an election with the next fencing token and reads all records. Earlier leaders are not informed.
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
        SimulatedController { fleet, shard_revision, watched_revision: store.revision }
    }

    /// Whether no other controller has taken the shard since this one was elected, according to the state
    /// store.
    pub fn holds_shard(&self, store: &Store) -> bool {
        self.shard_revision == store.mod_revision(leadership::SHARD_KEY)
    }

    /// Reads the changes to jobs' records that were made since the last call.
    pub fn read_changes(&mut self, store: &Store, now: Steady) {
        for (revision, key, value) in store.changes_since(self.watched_revision) {
            let Some(id) = key.strip_prefix("job/") else { continue };
            match value {
                Some(v) => {
                    let record: JobRecord = serde_json::from_value(v.clone()).expect("a job's record");
                    self.fleet.apply_job_record(record, *revision, now);
                }
                None => self.fleet.apply_job_removal(id, *revision),
            }
        }
        self.watched_revision = store.revision;
    }

    /// The transactions that the controller would send now. Done ranges are written at intervals of
    /// `done_delay`.
    pub fn batches(&mut self, done_delay: Micros, chunk: u32, now: Steady) -> Vec<Batch> {
        let pending = self.fleet.pending_writes(now, done_delay, chunk);
        leadership::compose_batches(&mut self.fleet, self.shard_revision, pending, 8, now, wall_at(now))
    }

    /// Applies the result of a transaction to the fleet; `result` is none if there was no reply. An error
    /// lists the keys to read back.
    pub fn apply_txn_result(
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

    /// Reads keys back, except the shard's key.
    pub fn read_back(&mut self, keys: &[String], store: &Store, now: Steady) {
        for key in keys.iter().filter(|k| *k != leadership::SHARD_KEY) {
            leadership::update_from_store(&mut self.fleet, store.key_state(key), now);
        }
    }
}
