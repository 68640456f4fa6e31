//! Change of version: leaders of the version in production and of this version read and write the same
//! records, while the state store's limits may be reduced.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::store::Store;
use common::{config_with_falling_limits, heartbeat, production, record, spec, types};
use milletlock::config::Config;
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::history::EstimateKey;
use milletlock::jobs::RunTimes;
use milletlock::leadership::{self, Batch, LeaderRecord, SHARD_KEY};
use milletlock::records::FinalRecord;
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, Row, Stage, Txn};
use serde_json::{json, Value};

/// The time at which a controller of this version becomes the leader.
const NOW: Steady = Steady(1_000_000_000);
/// A time so long after a failover that all pending writes are due.
const LATER: Steady = Steady(NOW.0 + 20_000_000);
/// The time of day at [`NOW`].
const WALL: Wall = Wall(1_790_000_000_000_000);
/// Maximum size in bytes of a value once the limits of `config_with_falling_limits(4.0, 1.0)` are reduced.
const SMALL_VALUE: usize = 1024;
/// Maximum number of changes of a transaction once the limits are reduced.
const SMALL_TXN: usize = 4;

/// A row of the state store.
fn row(key: &str, mod_revision: u64, value: Value) -> Row {
    Row { key: key.into(), value, mod_revision }
}

/// Settings in which reduced limits of the state store are announced, without the time of the change.
fn falling_limits() -> Arc<Config> {
    config_with_falling_limits(4.0, 1.0)
}

/// A job's record in exactly the form in which the version in production writes it.
fn production_job(number: u32, tasks: u32) -> Value {
    json!({
        "spec": {
            "nameId": format!("wk-{number:06}"), "grain": "any", "owner": "free", "shape": "batch",
            "rank": "normal", "kernels": tasks, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "seed": "img",
            "pullGb": 0.5, "oneZone": false, "spread": false, "gleanings": true, "expectS": 20.0,
            "stashEveryS": 0.0, "stashS": 0.0
        },
        "submitted_us": 1_789_999_990_000_000_i64
    })
}

/// Rows that the version in production left in the state store, with every kind of record.
fn production_rows() -> Vec<Row> {
    let past: Vec<Value> = (0..10).map(|n| json!({"end_s": 1_789_000_000 + n, "ratio": 0.6})).collect();
    let bucket = EstimateKey { team: "free".into(), stated: Micros(20_000_000) }.bucket();
    let leader = json!({"label": "c-1", "incarnation": 5, "token": 41, "lease": 900});
    vec![
        row(
            "recent",
            10,
            json!([{
                "at_us": 1_789_999_980_000_000_i64, "need": [16.0, 0.0, 16.0], "rank": "urgent",
                "types": ["large"], "work": 640.0, "hasty": true, "beside": 3, "due": false, "spot": false
            }]),
        ),
        row("job/wk-000001", 11, production_job(1, 2500)),
        row("job/wk-000002", 12, production_job(2, 8)),
        row(
            "machines/0",
            13,
            json!({
                "i-1": {"p": 0, "n": 41, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false},
                "i-2": {"p": 0, "n": 40, "a": "127.0.0.1:8", "t": "large", "z": "south", "s": true}
            }),
        ),
        row("marks/0", 14, json!({"wk-000001": 2100, "wk-000002": 4})),
        row("done/wk-000001/0", 15, json!("0-9,20")),
        row("done/wk-000001/1", 16, json!("1016-1019,2031")),
        row(&format!("hist/{bucket}"), 17, json!([{"team": "free", "stated_us": 20_000_000, "past": past}])),
        row("final/wk-000000", 18, json!({"stage": "done", "tasks": 3})),
        row("leader", 19, leader.clone()),
        row(SHARD_KEY, 19, leader),
        row("term", 19, json!({"n": 41})),
    ]
}

/// A leader of this version that has loaded these rows.
fn load_fleet(rows: Vec<Row>) -> Fleet {
    let mut fleet = Fleet::new(falling_limits(), types(), 42, NOW);
    let read_to = rows.iter().map(|row| row.mod_revision).max().unwrap_or(0);
    leadership::load_records(&mut fleet, rows, NOW, WALL);
    fleet.advance_jobs_revision(read_to);
    fleet
}

/// The transactions that a leader would send at `now`.
fn pending_batches(fleet: &mut Fleet, shard_revision: u64, now: Steady) -> Vec<Batch> {
    let pending = fleet.pending_writes(now, Micros::ZERO, chunk_tasks(fleet.max_value_bytes()));
    let max_changes = fleet.max_txn_changes();
    leadership::compose_batches(fleet, shard_revision, pending, max_changes, now, WALL)
}

/// Informs the fleet that the state store has executed a batch at a revision.
fn acknowledge(fleet: &mut Fleet, batch: &Batch, revision: u64, now: Steady) {
    for composed in &batch.writes {
        fleet.write_applied(&composed.write, revision, &composed.contents, now);
    }
}

/// Executes a leader's transactions until none is pending; returns them. `SHARD_KEY` must already be stored.
fn write_all(fleet: &mut Fleet, store: &mut Store) -> Vec<Txn> {
    let mut all = Vec::new();
    for round in 0..2000_i64 {
        let now = LATER + Micros(round * 20_000_000);
        let batches = pending_batches(fleet, store.mod_revision(SHARD_KEY), now);
        if batches.is_empty() {
            return all;
        }
        for batch in batches {
            match store.txn(&batch.txn) {
                Ok(revision) => acknowledge(fleet, &batch, revision, now),
                Err(failed) => failed
                    .iter()
                    .for_each(|key| leadership::update_from_store(fleet, store.key_state(key), now)),
            }
            all.push(batch.txn);
        }
    }
    panic!("the leader still has pending writes after 2000 rounds");
}

/// A state store that contains the rows.
fn store_of(rows: Vec<Row>) -> Store {
    let revision = rows.iter().map(|row| row.mod_revision).max().unwrap_or(0);
    let keys = rows.into_iter().map(|row| (row.key, (row.value, row.mod_revision))).collect();
    Store { keys, revision, ..Store::default() }
}

/// The keys and values that the transactions put.
fn puts(txns: &[Txn]) -> impl Iterator<Item = (&str, &Value)> {
    txns.iter().flat_map(|txn| &txn.then).filter_map(|change| match change {
        Change::Put { put, value, .. } => Some((put.as_str(), value)),
        Change::Drop { .. } => None,
    })
}

/// Delivers the first heartbeat of a machine.
fn enroll(fleet: &mut Fleet, id: &str, now: Steady) {
    let outcome = fleet.apply_heartbeat(&heartbeat(id, 1, 0, &[]), now, WALL);
    assert!(matches!(outcome, HeartbeatOutcome::Reply(_)), "{id} has no reply: {outcome:?}");
}

/// Guards against a record of the version in production that this version ignores or misreads.
#[test]
fn every_record_of_the_version_in_production_is_loaded() {
    let mut fleet = load_fleet(production_rows());
    let job = &fleet.jobs["wk-000001"];
    assert_eq!((job.spec.tasks, job.mod_revision, job.submitted), (2500, 11, Wall(1_789_999_990_000_000)));
    assert_eq!(
        (job.start_mark, job.inherited_start_mark, fleet.jobs["wk-000002"].start_mark),
        (2100, 2100, 4)
    );
    assert_eq!(job.done.text(), "0-9,20,1016-1019,2031");
    assert_eq!(job.done_written, job.done);
    assert_eq!(job.done_chunks, BTreeMap::from([(0, 15), (1, 16)]));
    assert!(!job.waiting.contains(20) && job.waiting.contains(21));
    for (id, address, type_name, spot) in
        [("i-1", "127.0.0.1:9", "small", false), ("i-2", "127.0.0.1:8", "large", true)]
    {
        let machine = &fleet.machines[id];
        assert_eq!(
            (machine.address.as_str(), machine.type_name.as_str(), machine.spot),
            (address, type_name, spot)
        );
        assert!(machine.registered && machine.inherited && !machine.acknowledged, "{id} may run tasks");
    }
    assert_eq!(
        fleet.history.factor(&EstimateKey { team: "free".into(), stated: Micros(20_000_000) }, WALL),
        0.6
    );
    let recent = fleet.recent_job_records(NOW, WALL, 4000);
    assert!(recent.iter().any(|job| job.extra_machines == 3 && job.types == ["large"]), "{recent:?}");
    // A failover alone causes no write but that of the list of recent jobs.
    let written = pending_batches(&mut fleet, 19, LATER);
    assert!(written
        .iter()
        .flat_map(|batch| &batch.writes)
        .all(|composed| composed.write == PendingWrite::RecentJobs));
    // Other records are not loaded into the fleet; they are read separately.
    let value_of = |key: &str| production_rows().into_iter().find(|row| row.key == key).expect("a row").value;
    let leader: LeaderRecord = serde_json::from_value(value_of("leader")).expect("a leader");
    assert_eq!(
        (leader.label.as_str(), leader.incarnation, leader.fencing_token, leader.lease),
        ("c-1", 5, 41, 900)
    );
    let final_record: FinalRecord = serde_json::from_value(value_of("final/wk-000000")).expect("an end");
    assert_eq!(final_record, FinalRecord { stage: Stage::Done, tasks: 3 });
}

/// Guards against the loss of done tasks when this version, whose chunks have another size, reuses the chunk
/// numbers of the version in production. Also guards against chunks that are never removed.
#[test]
fn done_chunks_of_the_version_in_production_are_kept_until_the_job_ends() {
    let mut store = store_of(production_rows());
    let mut fleet = load_fleet(production_rows());
    let job = fleet.jobs.get_mut("wk-000001").expect("the job");
    for task in (30..60).chain(1100..1110).chain(2400..2405) {
        job.done.insert(task);
        job.waiting.remove(task);
    }
    let written = write_all(&mut fleet, &mut store);
    let old = ["done/wk-000001/0", "done/wk-000001/1"];
    assert!(puts(&written).any(|(key, _)| key.starts_with("done/")));
    assert!(puts(&written).all(|(key, _)| !old.contains(&key)));
    for (key, text, mod_revision) in [(old[0], "0-9,20", 15), (old[1], "1016-1019,2031", 16)] {
        assert_eq!(store.keys[key], (json!(text), mod_revision));
    }
    let job = &fleet.jobs["wk-000001"];
    let stored = production::done_in(&store, "wk-000001");
    assert_eq!(stored, job.done.iter().collect());
    // The end of the job removes all chunks, in several transactions if one has not enough room.
    let job = fleet.jobs.get_mut("wk-000001").expect("the job");
    (0..2500).for_each(|task| {
        job.done.insert(task);
    });
    assert!(fleet.jobs["wk-000001"].done_chunks.len() > SMALL_TXN);
    let written = write_all(&mut fleet, &mut store);
    assert!(written.iter().all(|txn| txn.then.len() <= SMALL_TXN));
    assert!(store.row("job/wk-000001").is_none() && store.row("final/wk-000001").is_some());
    assert_eq!(store.rows("done/").len(), 0);
    // A leader that finds done ranges without a job record removes them as well.
    let mut rows = production_rows();
    rows.retain(|row| row.key != "job/wk-000001");
    let mut store = store_of(rows.clone());
    write_all(&mut load_fleet(rows), &mut store);
    assert_eq!(store.rows("done/").len(), 0);
}

/// Parses a value as `T`; panics with the key if it cannot be parsed.
fn parses<T: serde::de::DeserializeOwned>(key: &str, value: &Value) -> T {
    serde_json::from_value(value.clone()).unwrap_or_else(|error| panic!("{key}: {error}: {value}"))
}

/// Asserts that the version in production can read a value, and knows all fields of a machine's record.
fn check_production_reads(key: &str, value: &Value) {
    let parts: Vec<&str> = key.split('/').collect();
    let number = |text: &str| text.parse::<u32>().unwrap_or_else(|error| panic!("{key}: {error}"));
    match parts[..] {
        ["machines", slot] => {
            assert!(number(slot) < 100_000, "{key}");
            let machines: BTreeMap<String, production::MachineRecord> = parses(key, value);
            assert_eq!(&json!(machines), value, "{key}");
            assert!(machines.values().all(|machine| {
                !machine.addr.is_empty() && !machine.ty.is_empty() && !machine.zone.is_empty()
            }));
        }
        ["marks", slot] => {
            assert!(number(slot) < 100_000, "{key}");
            parses::<BTreeMap<String, u32>>(key, value);
        }
        ["done", _, chunk] => {
            number(chunk);
            production::tasks_of_text(value.as_str().expect("a text"));
        }
        ["hist", bucket] => {
            number(bucket);
            assert!(!parses::<Vec<production::HistoryRecord>>(key, value).is_empty());
        }
        ["recent"] => assert!(!parses::<Vec<production::DemandRecord>>(key, value).is_empty()),
        ["final", _] => assert_eq!(parses::<production::FinalRecord>(key, value).stage, "done"),
        _ => panic!("the version in production does not know the key {key}"),
    }
}

/// Guards against records that production cannot read, and writes that exceed the announced limits.
#[test]
fn all_records_of_this_version_are_readable_in_production_and_within_the_announced_limits() {
    let mut store = store_of(vec![row(SHARD_KEY, 1, json!({}))]);
    let mut fleet = load_fleet(Vec::new());
    for number in 0..1000 {
        enroll(&mut fleet, &format!("i-{number:05}"), NOW);
    }
    for number in 1..=300 {
        let mut spec = spec(number, if number == 1 { 30_000 } else { 40 }, "batch");
        spec.priority = milletlock::wire::Priority::Urgent;
        fleet.apply_job_record(record(spec), 1 + u64::from(number), NOW);
        let id: std::sync::Arc<str> = format!("wk-{number:06}").into();
        let job = fleet.jobs.get_mut(&id).expect("the job");
        job.wanted_start_mark = job.spec.tasks;
        job.run_times = RunTimes { total: Micros(15_000_000), count: 1 };
        let every = if number % 3 == 0 { 1 } else { 2 };
        (0..job.spec.tasks).step_by(every).for_each(|task| {
            job.done.insert(task);
        });
        // Transactions on a job are guarded by the revision of its record, so the record must be stored.
        store.keys.insert(format!("job/{id}"), (json!({}), job.mod_revision));
    }
    for sample in 0..200 {
        fleet.history.add(
            &EstimateKey { team: "free".into(), stated: Micros(20_000_000) },
            WALL,
            f64::from(sample) / 300.0,
        );
    }
    store.revision = 1000;
    let written = write_all(&mut fleet, &mut store);
    for (key, value) in puts(&written) {
        check_production_reads(key, value);
        assert!(value.to_string().len() <= SMALL_VALUE, "{key} has {} bytes", value.to_string().len());
    }
    assert!(written.iter().all(|txn| (1..=SMALL_TXN).contains(&txn.then.len())));
    assert!(written.iter().all(|txn| txn.guards[0].key == SHARD_KEY));
    for kind in ["machines/", "marks/", "done/", "hist/", "recent", "final/"] {
        assert!(puts(&written).any(|(key, _)| key.starts_with(kind)), "no record under {kind} was written");
    }
    assert_eq!(production::machines_in(&store).len(), 1000);
    assert_eq!(production::marks_in(&store).len(), 200, "expected a start mark of each unfinished job only");
}

/// Guards against keeping the lower of two start marks of a job that two leaders stored, if it is read last.
#[test]
fn the_highest_of_two_stored_start_marks_of_a_job_is_kept() {
    for (first, second) in [(200, 100), (100, 200)] {
        let rows = vec![
            row(SHARD_KEY, 1, json!({})),
            row("job/wk-000001", 2, production_job(1, 2500)),
            row("marks/0", 3, json!({ "wk-000001": first })),
            row("marks/1", 4, json!({ "wk-000001": second })),
        ];
        let mut store = store_of(rows.clone());
        let mut fleet = load_fleet(rows);
        assert_eq!(fleet.jobs["wk-000001"].start_mark, 200);
        for round in 1..10_i64 {
            for batch in pending_batches(&mut fleet, 1, LATER + Micros(round * 20_000_000)) {
                let revision = store.txn(&batch.txn).expect("no other leader");
                acknowledge(&mut fleet, &batch, revision, LATER);
                assert_eq!(production::marks_in(&store)["wk-000001"], 200);
            }
        }
        let copies = store.rows("marks/").iter().filter(|row| row.value.get("wk-000001").is_some()).count();
        assert_eq!(copies, 1);
    }
}

/// Guards against a delayed transaction of a leader that overwrites a newer one of the same leader.
#[test]
fn late_transactions_of_the_same_leader_are_refused() {
    let mut store = store_of(production_rows());
    let mut fleet = load_fleet(production_rows());
    let finish = |fleet: &mut Fleet, tasks: std::ops::Range<u32>| {
        let job = fleet.jobs.get_mut("wk-000001").expect("the job");
        job.wanted_start_mark = 2100 + tasks.end;
        tasks.for_each(|task| {
            job.done.insert(task);
        });
    };
    finish(&mut fleet, 30..40);
    enroll(&mut fleet, "i-3", NOW);
    let late = pending_batches(&mut fleet, store.mod_revision(SHARD_KEY), LATER);
    let written = |prefix: &str| {
        late.iter()
            .flat_map(|batch| puts(std::slice::from_ref(&batch.txn)))
            .any(|(key, _)| key.starts_with(prefix))
    };
    assert!(["done/", "marks/", "machines/"].iter().all(|prefix| written(prefix)));
    finish(&mut fleet, 40..50);
    write_all(&mut fleet, &mut store);
    let before = store.keys.clone();
    // The list of recent jobs has no guard of its own and may be overwritten late, as it is only a hint.
    let is_guarded =
        |batch: &&Batch| batch.writes.iter().any(|composed| composed.write != PendingWrite::RecentJobs);
    for batch in late.iter().filter(is_guarded) {
        assert!(store.txn(&batch.txn).is_err(), "{:?}", batch.txn);
    }
    assert_eq!(store.keys, before);
}

/// Guards against the loss of fields that a later version has added to a machine's record.
#[test]
fn unknown_fields_of_a_machine_are_written_back() {
    let later = json!({
        "p": 0, "n": 41, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false,
        "q": {"deep": [1, 2]}, "slow": true
    });
    let rows = vec![row(SHARD_KEY, 1, json!({})), row("machines/0", 2, json!({ "i-1": later }))];
    let mut store = store_of(rows.clone());
    let mut fleet = load_fleet(rows);
    enroll(&mut fleet, "i-2", NOW);
    write_all(&mut fleet, &mut store);
    let value = &store.keys["machines/0"].0;
    assert_eq!(value["i-1"], later);
    assert_eq!(
        value["i-2"],
        json!({"p": 0, "n": 42, "a": "127.0.0.1:9", "t": "small", "z": "north", "s": false})
    );
}
