//! Leader election. A candidate opens a lease and commits one compare-and-swap transaction that raises
//! the term (the source of fencing tokens), puts the leader's record on the lease and takes the shard.

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::keys::{FORMAT_KEY, FORMAT_VERSION, LEADER_KEY, SHARD_KEY, TERM_KEY};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError, TxnOutcome};
use crate::time::Micros;
use crate::wire::{Change, Guard, Row, Txn};

/// Fencing token of the first leader there ever was.
const FIRST_FENCING_TOKEN: u64 = 1;

/// The leader's record (under [`LEADER_KEY`]), and the shard's (under [`SHARD_KEY`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's label.
    pub label: String,
    /// Its incarnation: a process may be back under the same label with an empty memory.
    pub incarnation: u64,
    /// Its fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The lease to which the leader's record is attached. It distinguishes two elections of one process:
    /// if an unanswered transaction were carried out late, the process would mistake it for its next one,
    /// renew the other lease and never learn from that that it had been replaced.
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
#[derive(Clone, Copy, Debug)]
pub struct LeadershipTerm {
    /// The fencing token.
    pub fencing_token: u64,
    /// The lease to which the leader's record is attached.
    pub lease: u64,
    /// The shard's revision: the guard of every write of this leader.
    pub shard_revision: u64,
    /// Whether no controller has led before.
    pub is_first: bool,
}

impl LeadershipTerm {
    /// The term that begins with the leader's record, written at `shard_revision`.
    fn new(leader: &LeaderRecord, shard_revision: u64) -> LeadershipTerm {
        LeadershipTerm {
            fencing_token: leader.fencing_token,
            lease: leader.lease,
            shard_revision,
            is_first: leader.fencing_token == FIRST_FENCING_TOKEN,
        }
    }
}

/// Revisions of the records that an election replaces, as they were read; 0 where there is none.
struct ReplacedRevisions {
    leader: u64,
    term: u64,
    shard: u64,
}

/// Tries to become the leader, given the revision of the leader's record that is to be replaced
/// (0: there is none), with a lease that lasts for `ttl`. `Ok(None)`: another controller was faster.
///
/// # Errors
/// [`StateStoreError::NewerRecords`] if the records are of a later format; otherwise as any call to the
/// state store. The lease is ended if the transaction failed for certain; in other cases it expires.
pub fn try_become_leader(
    state: &StateStoreClient,
    label: &str,
    incarnation: u64,
    ttl: Micros,
    replaced_revision: u64,
) -> Result<Option<LeadershipTerm>, StateStoreError> {
    check_format(state)?;
    let lease = state.grant_lease(ttl)?;
    let term = state.get(TERM_KEY, RequestPriority::Leadership)?;
    let shard = state.get(SHARD_KEY, RequestPriority::Leadership)?;
    let fencing_token = latest_term(term.as_ref())? + 1;
    let leader = LeaderRecord { label: label.to_string(), incarnation, fencing_token, lease };
    let replaced = ReplacedRevisions {
        leader: replaced_revision,
        term: term.map_or(0, |row| row.mod_revision),
        shard: shard.map_or(0, |row| row.mod_revision),
    };
    match state.txn(&election_txn(&leader, &replaced), RequestPriority::Leadership) {
        Ok(TxnOutcome::Committed(revision)) => Ok(Some(LeadershipTerm::new(&leader, revision))),
        Ok(TxnOutcome::Conflict(_)) => {
            let _ = state.end_lease(lease);
            Ok(None)
        }
        Err(StateStoreError::NoAnswer(_)) => resolve_unknown_election(state, &leader),
        Err(error) => {
            let _ = state.end_lease(lease);
            Err(error)
        }
    }
}

/// Finds out whether an election without an answer was committed: the shard then holds its record.
fn resolve_unknown_election(
    state: &StateStoreClient,
    leader: &LeaderRecord,
) -> Result<Option<LeadershipTerm>, StateStoreError> {
    if let Some(shard) = state.get(SHARD_KEY, RequestPriority::Leadership)? {
        if serde_json::from_value::<LeaderRecord>(shard.value).is_ok_and(|found| found == *leader) {
            return Ok(Some(LeadershipTerm::new(leader, shard.mod_revision)));
        }
    }
    // Without its lease the transaction fails if it is carried out late, whether or not its guards still hold.
    let _ = state.end_lease(leader.lease);
    Ok(None)
}

/// The number of the latest term (0: there is none).
fn latest_term(row: Option<&Row>) -> Result<u64, StateStoreError> {
    let Some(row) = row else { return Ok(0) };
    let term: TermRecord = serde_json::from_value(row.value.clone())
        .map_err(|error| StateStoreError::Malformed(error.to_string()))?;
    Ok(term.number)
}

/// The election's compare-and-swap: guarded by the revisions of the leader's record, the term and the
/// shard as they were read, it raises the term, puts the leader's record on its lease and takes the
/// shard.
fn election_txn(leader: &LeaderRecord, replaced: &ReplacedRevisions) -> Txn {
    let value = json!(leader);
    let guard = |key: &str, mod_revision: u64| Guard { key: key.into(), mod_revision };
    Txn {
        guards: vec![
            guard(LEADER_KEY, replaced.leader),
            guard(TERM_KEY, replaced.term),
            guard(SHARD_KEY, replaced.shard),
        ],
        then: vec![
            Change::Put { put: LEADER_KEY.into(), value: value.clone(), lease: Some(leader.lease) },
            Change::put(TERM_KEY, json!(TermRecord { number: leader.fencing_token })),
            Change::put(SHARD_KEY, value),
        ],
    }
}

/// Refuses records of a later format: an old process that is back after all others have moved on must
/// neither misread nor overwrite them.
fn check_format(state: &StateStoreClient) -> Result<(), StateStoreError> {
    let Some(row) = state.get(FORMAT_KEY, RequestPriority::Leadership)? else { return Ok(()) };
    match serde_json::from_value::<FormatRecord>(row.value.clone()) {
        Ok(format) if format.reader <= FORMAT_VERSION => Ok(()),
        _ => Err(StateStoreError::NewerRecords { found: row.value.to_string(), known: FORMAT_VERSION }),
    }
}
