//! Leadership: leader election by a lease, fencing tokens, and the take over of the stored
//! records. A claim is one compare-and-swap transaction that raises the term (the source of
//! fencing tokens), puts the leader's record on a fresh lease and takes the shard. Today there is
//! one shard, taken over whole.

mod loan_records;
mod writes;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::config::Config;
use crate::fleet::Fleet;
use crate::history::HistoryRecord;
use crate::keys::{BORROWED_PREFIX, HIGH_WATER_MARKS_PREFIX, HISTORY_PREFIX, MACHINES_PREFIX, RECENT_KEY};
use crate::records::{JobRecord, MachineRecord};
use crate::state::{KeyList, RequestPriority, StateStoreClient, StateStoreError, TxnOutcome};
use crate::time::{wall, Micros, Steady, Wall};
use crate::wire::{Change, Guard, MachineType, Row, Txn};

pub use loan_records::{loan_txn, read_loan_records};
pub use writes::{batches, Batch};

/// Key of the leader's record, which hangs on the leader's lease.
pub const LEADER_KEY: &str = "leader";
/// Key of the term, whose number is the latest fencing token.
pub const TERM_KEY: &str = "term";
/// Key of the one shard there is; its revision guards every write of the leader.
pub const SHARD_KEY: &str = "part/0";
/// Key that names the oldest format of the records that still reads them. No version has written it
/// so far: a later one will, before it writes anything that this one would misread.
pub const FORMAT_KEY: &str = "format";
/// The format of the records that this version reads and writes.
pub const FORMAT_VERSION: u32 = 1;
/// Key of the machine types, for controllers that start while the cloud is out.
pub const CATALOG_KEY: &str = "catalog";

/// The leader's record (under [`LEADER_KEY`]), and the shard's (under [`SHARD_KEY`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's label.
    pub label: String,
    /// Its incarnation: a process may be back under the same label, remembering nothing.
    pub incarnation: u64,
    /// Its fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The lease that the leader's record hangs on. It tells two claims of one process apart: with an
    /// unanswered one carried out late, the process would take it for the next, renew the other lease
    /// and never learn from that that it had been replaced.
    #[serde(default)]
    pub lease: u64,
}

/// The format record (under [`FORMAT_KEY`]).
#[derive(Debug, Serialize, Deserialize)]
pub struct FormatRecord {
    /// A version reads the records if it knows this format or a later one.
    pub reader: u32,
}

/// The term record (under [`TERM_KEY`]).
#[derive(Serialize, Deserialize)]
struct TermRecord {
    /// The term's number: the fencing token of its leader.
    #[serde(rename = "n")]
    number: u64,
}

/// A won election: what the new leader acts under.
#[derive(Clone, Debug)]
pub struct LeaderClaim {
    /// The fencing token.
    pub fencing_token: u64,
    /// The lease that the leader's record hangs on.
    pub lease: u64,
    /// The shard's revision: the guard of every write of this leader.
    pub shard_revision: u64,
    /// Whether this is the first term.
    pub first: bool,
}

/// Tries to become leader by a claim, given the revision of the leader's record that is to be
/// replaced (0: there is none). `Ok(None)`: another controller was faster.
///
/// # Errors
/// [`StateStoreError::NewerRecords`] if the records are of a later format; otherwise as any call to
/// the state store, after the fresh lease is ended.
pub fn try_become_leader(
    state: &StateStoreClient,
    label: &str,
    incarnation: u64,
    ttl: Micros,
    seen: u64,
) -> Result<Option<LeaderClaim>, StateStoreError> {
    check_format(state)?;
    let lease = state.grant_lease(ttl)?;
    let term = state.get(TERM_KEY, RequestPriority::Leadership)?;
    let shard = state.get(SHARD_KEY, RequestPriority::Leadership)?;
    let fencing_token = last_term(term.as_ref())? + 1;
    let leader = LeaderRecord { label: label.to_string(), incarnation, fencing_token, lease };
    let txn =
        election_txn(&leader, seen, term.map_or(0, |r| r.mod_revision), shard.map_or(0, |r| r.mod_revision));
    let elected = |shard_revision| {
        Ok(Some(LeaderClaim { fencing_token, lease, shard_revision, first: fencing_token == 1 }))
    };
    match state.txn(&txn, RequestPriority::Leadership) {
        Ok(TxnOutcome::Committed(revision)) => elected(revision),
        Ok(TxnOutcome::Conflict(_)) => {
            let _ = state.end_lease(lease);
            Ok(None)
        }
        // It may have been executed: the shard tells.
        Err(StateStoreError::Unknown(_)) => match state.get(SHARD_KEY, RequestPriority::Leadership)? {
            Some(r) if serde_json::from_value::<LeaderRecord>(r.value.clone()).is_ok_and(|o| o == leader) => {
                elected(r.mod_revision)
            }
            _ => {
                // A late copy then fails, whatever else still holds.
                let _ = state.end_lease(lease);
                Ok(None)
            }
        },
        Err(e) => {
            let _ = state.end_lease(lease);
            Err(e)
        }
    }
}

/// The number of the latest term (0: there is none).
fn last_term(term: Option<&Row>) -> Result<u64, StateStoreError> {
    let Some(row) = term else { return Ok(0) };
    let term: TermRecord =
        serde_json::from_value(row.value.clone()).map_err(|e| StateStoreError::Malformed(e.to_string()))?;
    Ok(term.number)
}

/// The election's compare-and-swap: guarded by the revisions of the leader's record, the term
/// and the shard as they were read, it raises the term, puts the leader's record on its lease and
/// takes the shard.
fn election_txn(leader: &LeaderRecord, seen: u64, term_revision: u64, shard_revision: u64) -> Txn {
    let value = json!(leader);
    let guard = |key: &str, mod_revision: u64| Guard { key: key.into(), mod_revision };
    Txn {
        guards: vec![
            guard(LEADER_KEY, seen),
            guard(TERM_KEY, term_revision),
            guard(SHARD_KEY, shard_revision),
        ],
        then: vec![
            Change::Put { put: LEADER_KEY.into(), value: value.clone(), lease: Some(leader.lease) },
            Change::put(TERM_KEY, json!(TermRecord { number: leader.fencing_token })),
            Change::put(SHARD_KEY, value),
        ],
    }
}

/// Refuses records of a later form: an old process that is back after all others have moved on must
/// neither misread nor overwrite them.
fn check_format(state: &StateStoreClient) -> Result<(), StateStoreError> {
    let Some(row) = state.get(FORMAT_KEY, RequestPriority::Leadership)? else { return Ok(()) };
    let needed = serde_json::from_value::<FormatRecord>(row.value.clone()).map(|f| f.reader);
    match needed {
        Ok(reader) if reader <= FORMAT_VERSION => Ok(()),
        _ => Err(StateStoreError::NewerRecords { found: row.value.to_string(), known: FORMAT_VERSION }),
    }
}

/// Machine types as last written (under [`CATALOG_KEY`]); `None` if there are none or they cannot
/// be read.
pub fn read_catalog(state: &StateStoreClient) -> Result<Option<Vec<MachineType>>, StateStoreError> {
    let row = state.get(CATALOG_KEY, RequestPriority::Leadership)?;
    Ok(row.and_then(|r| serde_json::from_value(r.value).ok()))
}

/// Reads all records back after a won election into a new fleet under the fencing `fencing_token`; it
/// is `now`, after the election was answered.
pub fn rebuild(
    state: &StateStoreClient,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    fencing_token: u64,
    now: Steady,
) -> Result<Fleet, StateStoreError> {
    let mut fleet = Fleet::new(cfg, types, fencing_token, now);
    let KeyList { rows: jobs, revision } = state.list("job/")?;
    // Both forms of the machines' records: `machine/<id>` and `machines/<slot>`.
    let machines = state.list("machine")?.rows;
    let marks = state.list(&format!("{HIGH_WATER_MARKS_PREFIX}/"))?.rows;
    let done = state.list("done/")?.rows;
    let history = state.list("hist/")?.rows;
    let recent = state.list(RECENT_KEY)?.rows;
    let borrowed = if fleet.uses_cells() { loan_records::borrowed_rows(state)? } else { Vec::new() };
    load(&mut fleet, [recent, jobs, borrowed, machines, marks, done, history].concat(), now, wall());
    fleet.has_read_to(revision);
    Ok(fleet)
}

/// A packed value with its slot number, as stored under `<prefix>/<slot>`.
fn packed<T: serde::de::DeserializeOwned>(slot: &str, value: Value) -> anyhow::Result<(u32, T)> {
    Ok((slot.parse()?, serde_json::from_value(value)?))
}

/// Logs a record that cannot be decoded; the load goes on without it.
fn unreadable(key: &str, error: &dyn std::fmt::Display) {
    tracing::error!(key, %error, "record unreadable");
}

/// Takes records over into a new leader's fleet, after a claim or a take over.
pub fn load(fleet: &mut Fleet, mut rows: Vec<Row>, now: Steady, wall: Wall) {
    // Values of many machines go first, so that single records of earlier versions fill them up.
    rows.sort_by_key(|r| !r.key.starts_with("machines/"));
    for row in rows {
        load_row(fleet, row, now, wall);
    }
    fleet.split_oversized();
}

/// Takes one record over, by the form of its key.
fn load_row(fleet: &mut Fleet, row: Row, now: Steady, wall: Wall) {
    let mut parts = row.key.split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("job"), Some(_), None) => match serde_json::from_value::<JobRecord>(row.value) {
            Ok(job) => fleet.job_put(job, row.mod_revision, now),
            Err(e) => unreadable(&row.key, &e),
        },
        (Some("machine"), Some(id), None) => {
            load_machine(fleet, id, &row.key, row.value, row.mod_revision, now)
        }
        (Some(MACHINES_PREFIX), Some(slot), None) => match packed(slot, row.value) {
            Ok((slot, machines)) => fleet.inherit_machines(slot, machines, row.mod_revision, now),
            Err(e) => {
                unreadable(&row.key, &e);
                slot.parse().into_iter().for_each(|s| fleet.packs.keep_unreadable(s));
            }
        },
        (Some(HIGH_WATER_MARKS_PREFIX), Some(slot), None) => match packed(slot, row.value) {
            Ok((slot, marks)) => fleet.inherit_marks(slot, marks, row.mod_revision),
            Err(e) => {
                unreadable(&row.key, &e);
                slot.parse().into_iter().for_each(|s| fleet.marks.keep_unreadable(s));
            }
        },
        (Some(BORROWED_PREFIX), ..) => loan_records::load_borrowed(fleet, row, now, wall),
        (Some("done"), Some(id), Some(chunk)) => {
            if let (Ok(chunk), Some(text)) = (chunk.parse(), row.value.as_str()) {
                fleet.inherit_done(id, chunk, text, row.mod_revision);
            }
        }
        (Some(RECENT_KEY), None, None) => match serde_json::from_value(row.value) {
            Ok(list) => fleet.inherit_recent(list, now, wall),
            Err(e) => unreadable(&row.key, &e),
        },
        (Some(HISTORY_PREFIX), Some(bucket), None) => {
            load_history_bucket(fleet, bucket, &row.key, row.value, row.mod_revision)
        }
        // As earlier versions wrote it.
        (Some(HISTORY_PREFIX), Some(_), Some(_)) => {
            match serde_json::from_value::<HistoryRecord>(row.value) {
                Ok(record) => fleet.history.load_old(record),
                Err(e) => unreadable(&row.key, &e),
            }
        }
        _ => {}
    }
}

/// Takes a single machine's record over, as versions before packed records wrote it.
fn load_machine(fleet: &mut Fleet, id: &str, key: &str, value: Value, mod_revision: u64, now: Steady) {
    // One that cannot be read may hold tasks all the same: it stays unheard until it reports or
    // is returned.
    let machine = serde_json::from_value::<MachineRecord>(value).unwrap_or_else(|e| {
        unreadable(key, &e);
        MachineRecord::default()
    });
    fleet.inherit_machine(id, &machine, mod_revision, now);
}

/// Takes a packed bucket of history records over.
fn load_history_bucket(fleet: &mut Fleet, bucket: &str, key: &str, value: Value, mod_revision: u64) {
    match packed::<Vec<HistoryRecord>>(bucket, value) {
        Ok((bucket, list)) => {
            list.into_iter().for_each(|h| fleet.history.load(h));
            fleet.history.learn(bucket, mod_revision);
        }
        Err(e) => unreadable(key, &e),
    }
}

/// Learns how a key stands after a conflict or an unknown outcome.
pub fn learn(fleet: &mut Fleet, key: &str, row: Option<Row>, now: Steady) {
    let mod_revision = row.as_ref().map_or(0, |r| r.mod_revision);
    let mut parts = key.split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("job"), Some(id), _) => {
            match row.and_then(|r| serde_json::from_value::<JobRecord>(r.value).ok()) {
                Some(r) => fleet.job_put(r, mod_revision, now),
                None => {
                    let known = fleet.jobs.get(id).map_or(0, |j| j.mod_revision);
                    fleet.job_over(id, fleet.read_to().max(known) + 1);
                }
            }
        }
        (Some(BORROWED_PREFIX), ..) => loan_records::learn_borrowed(fleet, key, row, now, wall()),
        (Some("machine"), Some(id), _) => fleet.learn_machine(id, mod_revision),
        (Some(prefix @ (MACHINES_PREFIX | HIGH_WATER_MARKS_PREFIX | HISTORY_PREFIX)), Some(slot), None) => {
            let Ok(slot) = slot.parse() else { return };
            match prefix {
                MACHINES_PREFIX => fleet.packs.set_mod_revision(slot, mod_revision),
                HIGH_WATER_MARKS_PREFIX => fleet.marks.set_mod_revision(slot, mod_revision),
                _ => fleet.history.learn(slot, mod_revision),
            }
        }
        (Some("done"), Some(id), Some(c)) => {
            fleet.learn_orphan(key, mod_revision);
            if let (true, Ok(c), Some(text)) =
                (fleet.jobs.contains_key(id), c.parse(), row.as_ref().map_or(Some(""), |r| r.value.as_str()))
            {
                fleet.inherit_done(id, c, text, mod_revision);
            }
        }
        _ => {}
    }
}
