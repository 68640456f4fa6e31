//! Leader election. A candidate takes a lease and commits one compare-and-swap transaction that raises
//! the term (the source of fencing tokens), attaches the leader's record to the lease and takes the shard.

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::keys::{FORMAT_KEY, FORMAT_VERSION, LEADER_KEY, SHARD_KEY, TERM_KEY};
use crate::state::{RequestPriority, StateStoreClient, StateStoreError, TxnOutcome};
use crate::time::Micros;
use crate::wire::{Change, Guard, Row, Txn};

/// Fencing token of the first leader of an installation.
const FIRST_FENCING_TOKEN: u64 = 1;

/// The record that identifies the leader. It is stored both under [`LEADER_KEY`] and under [`SHARD_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's label.
    pub label: String,
    /// The incarnation of the controller process. It distinguishes a restarted process, which has lost
    /// its memory, from the earlier one under the same label.
    pub incarnation: u64,
    /// The leader's fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// The lease to which the leader's record is attached. It distinguishes two elections of one process.
    /// Without it, the process could mistake the late commit of an unanswered election transaction for
    /// its next one. It would then renew the wrong lease, and the renewals would not show when it had been
    /// replaced.
    #[serde(default)]
    pub lease: u64,
}

/// The format record (under [`FORMAT_KEY`]).
#[derive(Debug, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The oldest format version that a program must support to read the records.
    pub reader: u32,
}

/// The term record (under [`TERM_KEY`]).
#[derive(Serialize, Deserialize)]
struct TermRecord {
    /// The term's number: the fencing token of its leader.
    #[serde(rename = "n")]
    number: u64,
}

/// The term of a leader, which begins with a won election.
#[derive(Clone, Copy, Debug)]
pub struct LeadershipTerm {
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// The lease to which the leader's record is attached.
    pub lease: u64,
    /// The shard's revision, by which every write of this leader is guarded.
    pub shard_revision: u64,
    /// Whether this is the first term of the installation: no controller has led before.
    pub is_first: bool,
}

impl LeadershipTerm {
    /// Creates the term of `leader`, whose record was committed at `shard_revision`.
    fn new(leader: &LeaderRecord, shard_revision: u64) -> LeadershipTerm {
        LeadershipTerm {
            fencing_token: leader.fencing_token,
            lease: leader.lease,
            shard_revision,
            is_first: leader.fencing_token == FIRST_FENCING_TOKEN,
        }
    }
}

/// The `mod_revision`s of the records that an election replaces, as they were read; 0 if a record does not
/// exist.
struct ReplacedRevisions {
    leader: u64,
    term: u64,
    shard: u64,
}

/// Tries to become the leader with a lease that lasts for `ttl`. `replaced_revision` is the `mod_revision`
/// of the leader's record that is to be replaced (0: there is none). Returns `Ok(None)` if another
/// controller has won the election.
///
/// # Errors
/// [`StateStoreError::NewerRecords`] if the records have a later format; otherwise as any call to the
/// state store. The lease is ended if the transaction is known to have failed. Otherwise the lease is left
/// to expire.
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

/// Finds out whether an election transaction without an answer was committed. If it was, the shard holds
/// the record `leader`.
fn resolve_unknown_election(
    state: &StateStoreClient,
    leader: &LeaderRecord,
) -> Result<Option<LeadershipTerm>, StateStoreError> {
    if let Some(shard) = state.get(SHARD_KEY, RequestPriority::Leadership)? {
        if serde_json::from_value::<LeaderRecord>(shard.value).is_ok_and(|found| found == *leader) {
            return Ok(Some(LeadershipTerm::new(leader, shard.mod_revision)));
        }
    }
    // The transaction may still be executed late, and its guards may still match. Once the lease has ended,
    // the transaction fails in any case.
    let _ = state.end_lease(leader.lease);
    Ok(None)
}

/// The number of the latest term; 0 if there has been none.
fn latest_term(row: Option<&Row>) -> Result<u64, StateStoreError> {
    let Some(row) = row else { return Ok(0) };
    let term: TermRecord = serde_json::from_value(row.value.clone())
        .map_err(|error| StateStoreError::Malformed(error.to_string()))?;
    Ok(term.number)
}

/// The election's compare-and-swap transaction. It raises the term, attaches the leader's record to its
/// lease and takes the shard. Its guards are the revisions at which the leader's record, the term and the
/// shard were read.
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

/// Checks that this version can read the stored records. An old process that starts again after the other
/// controllers have been upgraded must neither misread nor overwrite records of a later format.
fn check_format(state: &StateStoreClient) -> Result<(), StateStoreError> {
    let Some(row) = state.get(FORMAT_KEY, RequestPriority::Leadership)? else { return Ok(()) };
    match serde_json::from_value::<FormatRecord>(row.value.clone()) {
        Ok(format) if format.reader <= FORMAT_VERSION => Ok(()),
        _ => Err(StateStoreError::NewerRecords { found: row.value.to_string(), known: FORMAT_VERSION }),
    }
}
