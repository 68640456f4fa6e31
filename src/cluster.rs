//! Who owns what. A claim is one guarded transaction that raises the term, takes the leader's
//! leased record and takes the parts; the term is the only source of tokens. Today all parts are
//! one and are taken over whole.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::config::Config;
use crate::fleet::Fleet;
use crate::history::Record;
use crate::jobs::{JobRecord, MachineRecord};
use crate::state::{Applied, StateClient, StateError, Urgency};
use crate::time::{steady, Micros};
use crate::wire::{Change, Guard, MachineType, Txn};

/// Key of the leader's leased record.
pub const LEADER: &str = "leader";
/// Key of the term.
pub const TERM: &str = "term";
/// Key of the one part there is.
pub const PART: &str = "part/0";
/// Key of the machine types, for controllers that start while the cloud is out.
pub const CATALOG: &str = "catalog";

/// The leader's record, and the part's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its label.
    pub label: String,
    /// Its incarnation: a process may be back under the same label, remembering nothing.
    pub incarnation: u64,
    /// Its token.
    pub token: u64,
}

#[derive(Serialize, Deserialize)]
struct Term {
    n: u64,
}

/// A successful claim.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The token.
    pub token: u64,
    /// The lease that the leader's record hangs on.
    pub lease: u64,
    /// The part's version: the guard of every write of this owner.
    pub part: u64,
    /// Whether this is the first term.
    pub first: bool,
}

/// Reads the leader's record.
pub fn leader(state: &StateClient) -> Result<Option<(Owner, u64)>, StateError> {
    let row = state.get(LEADER, Urgency::Ownership)?;
    Ok(row.and_then(|r| Some((serde_json::from_value(r.value).ok()?, r.stamp))))
}

/// Tries to take everything over, given the version of the leader's record that is to be
/// replaced (0: there is none). `None`: another was faster.
pub fn claim(
    state: &StateClient,
    label: &str,
    incarnation: u64,
    ttl: Micros,
    seen: u64,
) -> Result<Option<Claim>, StateError> {
    let lease = state.lease(ttl)?;
    let term = state.get(TERM, Urgency::Ownership)?;
    let part = state.get(PART, Urgency::Ownership)?;
    let last = match &term {
        Some(r) => {
            let t: Term =
                serde_json::from_value(r.value.clone()).map_err(|e| StateError::Malformed(e.to_string()))?;
            t.n
        }
        None => 0,
    };
    let token = last + 1;
    let owner = Owner { label: label.to_string(), incarnation, token };
    let value = json!(owner);
    let guard = |key: &str, stamp: u64| Guard { key: key.into(), stamp };
    let txn = Txn {
        guards: vec![
            guard(LEADER, seen),
            guard(TERM, term.map_or(0, |r| r.stamp)),
            guard(PART, part.map_or(0, |r| r.stamp)),
        ],
        then: vec![
            Change::Put { put: LEADER.into(), value: value.clone(), lease: Some(lease) },
            Change::put(TERM, json!(Term { n: token })),
            Change::put(PART, value),
        ],
    };
    let claimed = |part| Ok(Some(Claim { token, lease, part, first: token == 1 }));
    match state.txn(&txn, Urgency::Ownership) {
        Ok(Applied::Yes(revision)) => claimed(revision),
        Ok(Applied::Conflict(_)) => {
            let _ = state.end_lease(lease);
            Ok(None)
        }
        // It may have been executed: the part tells.
        Err(StateError::Unknown(_)) => match state.get(PART, Urgency::Ownership)? {
            Some(r) if serde_json::from_value::<Owner>(r.value.clone()).is_ok_and(|o| o == owner) => {
                claimed(r.stamp)
            }
            _ => Ok(None),
        },
        Err(e) => {
            let _ = state.end_lease(lease);
            Err(e)
        }
    }
}

/// Machine types as last written.
pub fn catalog(state: &StateClient) -> Result<Option<Vec<MachineType>>, StateError> {
    let row = state.get(CATALOG, Urgency::Ownership)?;
    Ok(row.and_then(|r| serde_json::from_value(r.value).ok()))
}

/// Reads everything back after a claim. Returns the world and the revision to watch from.
pub fn rebuild(
    state: &StateClient,
    cfg: Arc<Config>,
    types: Vec<MachineType>,
    token: u64,
) -> Result<(Fleet, u64), StateError> {
    let now = steady();
    let mut fleet = Fleet::new(cfg, types, token, now);
    let (jobs, revision) = state.list("job/")?;
    for r in jobs {
        match serde_json::from_value::<JobRecord>(r.value) {
            Ok(j) => fleet.job_put(j, r.stamp, now),
            Err(e) => tracing::error!(key = %r.key, error = %e, "a job's record cannot be read"),
        }
    }
    let (machines, _) = state.list("machine/")?;
    for r in machines {
        let id = r.key.trim_start_matches("machine/").to_string();
        match serde_json::from_value::<MachineRecord>(r.value) {
            Ok(m) => fleet.inherit_machine(&id, &m, r.stamp, now),
            // It may hold tasks all the same: it stays unheard until it reports or is returned.
            Err(e) => {
                tracing::error!(key = %r.key, error = %e, "a machine's record cannot be read");
                fleet.inherit_machine(&id, &MachineRecord::default(), r.stamp, now);
            }
        }
    }
    let (done, _) = state.list("done/")?;
    for r in done {
        let mut parts = r.key.split('/').skip(1);
        if let (Some(id), Some(Ok(chunk)), Some(text)) =
            (parts.next(), parts.next().map(str::parse::<u32>), r.value.as_str())
        {
            fleet.inherit_done(id, chunk, text, r.stamp);
        }
    }
    let (history, _) = state.list("hist/")?;
    for r in history {
        if let Ok(h) = serde_json::from_value::<Record>(r.value) {
            fleet.history.load(h);
        }
    }
    Ok((fleet, revision))
}
