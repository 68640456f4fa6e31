//! Writes that are refused repeatedly because of an unreadable row.

mod common;

use common::lending_scenario::tasks;
use common::store::Store;
use common::{config, record, spec, types};
use milletlock::fleet::Fleet;
use milletlock::leadership::{self, SHARD_KEY};
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, Txn};
use milletlock_cells::{Loan, LoanNumber};
use serde_json::{json, Value};

/// Number of tasks in a chunk of done ranges.
const CHUNK: u32 = 1000;

fn put(store: &mut Store, key: &str, value: Value) {
    let then = vec![Change::put(key.to_string(), value)];
    store.txn(&Txn { guards: Vec::new(), then }).expect("written");
}

/// Executes all pending writes and reads back the keys of refused ones. Returns the number of refused writes.
fn write_all(fleet: &mut Fleet, store: &mut Store, now: Steady) -> usize {
    let pending = fleet.pending_writes(now, Micros::ZERO, CHUNK);
    let shard = store.mod_revision(SHARD_KEY);
    let mut refused = 0;
    for batch in leadership::compose_batches(fleet, shard, pending, 8, now, Wall(now.0)) {
        match store.txn(&batch.txn) {
            Ok(revision) => {
                for composed in &batch.writes {
                    fleet.write_applied(&composed.write, revision, &composed.contents, now);
                }
            }
            Err(keys) => {
                refused += 1;
                for key in keys {
                    leadership::update_from_store(fleet, store.key_state(&key), now);
                }
            }
        }
    }
    refused
}

/// Guards against an unreadable row of one job that prevents the writes of other jobs' done ranges.
#[test]
fn an_unreadable_row_blocks_only_its_own_job() {
    let mut store = Store::default();
    put(&mut store, SHARD_KEY, json!({ "label": "c-0" }));
    for number in 1..=2 {
        put(&mut store, &format!("job/wk-{number:06}"), json!(record(spec(number, 10, "batch"))));
    }
    let row = format!("done/wk-000001/{}", milletlock::task_ranges::chunk_number(CHUNK, 0));
    put(&mut store, &row, json!({ "form": 2 }));
    let now = Steady(1_000_000_000);
    let mut fleet = Fleet::new(config(), types(), 8, now);
    leadership::load_records(&mut fleet, store.rows(""), now, Wall(now.0));
    fleet.mark_lent_tasks_done("wk-000001", &tasks("0-4"));
    fleet.mark_lent_tasks_done("wk-000002", &tasks("0-4"));
    let refused: usize = (0..5).map(|_| write_all(&mut fleet, &mut store, now)).sum();
    assert_eq!(
        store.rows("done/wk-000002/").len(),
        1,
        "done ranges of the other job are not written, {refused} writes refused"
    );
    assert_eq!(store.row(&row).map(|row| row.value), Some(json!({ "form": 2 })));
    assert!(refused <= 1, "{refused} writes refused");
}

/// Guards against an unreadable copy of one job's start mark that prevents the end of other jobs.
#[test]
fn an_unreadable_start_mark_copy_blocks_only_its_own_job() {
    let mut store = Store::default();
    put(&mut store, SHARD_KEY, json!({ "label": "c-0" }));
    let mut lent = record(spec(1, 40, "batch"));
    lent.lending.loans =
        vec![Loan { number: LoanNumber(1), borrower: "there".into(), tasks: tasks("30-39") }];
    put(&mut store, "job/wk-000001", json!(lent));
    put(&mut store, "marks/0", json!({ "wk-000001": 16 }));
    put(&mut store, "lent/marks/wk-000001", json!({ "form": 2 }));
    put(&mut store, "job/wk-000002", json!(record(spec(2, 10, "batch"))));
    let now = Steady(1_000_000_000);
    let mut fleet = Fleet::new(config(), types(), 8, now);
    leadership::load_records(&mut fleet, store.rows(""), now, Wall(now.0));
    fleet.mark_lent_tasks_done("wk-000002", &tasks("0-9"));
    let refused: usize = (0..5).map(|_| write_all(&mut fleet, &mut store, now)).sum();
    assert!(store.row("final/wk-000002").is_some(), "the other job has not ended, {refused} writes refused");
    assert_eq!(store.row("lent/marks/wk-000001").map(|row| row.value), Some(json!({ "form": 2 })));
    assert!(refused <= 1, "{refused} writes refused");
}
