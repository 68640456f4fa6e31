//! Messages between controllers and the state store: keys with their values, compare-and-swap
//! transactions and the events of a watch.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of the state store with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// Revision of its latest change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A page of a list of keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowPage {
    /// The keys with their values, in order.
    pub rows: Vec<Row>,
    /// Whether there is more.
    #[serde(default)]
    pub more: bool,
    /// The store's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// A condition on a key of a compare-and-swap transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The `mod_revision` that the key must have; 0: it must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

impl Guard {
    /// A guard that holds only while there is no such key.
    pub fn must_not_exist(key: String) -> Guard {
        Guard { key, mod_revision: 0 }
    }
}

/// A change of a key in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key.
        put: String,
        /// The value.
        value: Value,
        /// The lease to which the key is attached; it is removed on lease expiry.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Drop {
        /// The key.
        drop: String,
    },
}

impl Change {
    /// Writes a key without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put { put: key.into(), value, lease: None }
    }

    /// Removes a key.
    pub fn drop(key: impl Into<String>) -> Change {
        Change::Drop { drop: key.into() }
    }

    /// The key that changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Drop { drop } => drop,
        }
    }
}

/// A compare-and-swap transaction: executes all changes if all guards hold, and nothing otherwise.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The changes.
    pub then: Vec<Change>,
}

/// A change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key written, if it was.
    #[serde(default)]
    pub put: Option<String>,
    /// The key removed, if it was.
    #[serde(default)]
    pub drop: Option<String>,
    /// The value written.
    #[serde(default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp", default)]
    pub mod_revision: u64,
}

/// The changes that a watch returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvents {
    /// The store's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
    /// The changes, in any order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Milliseconds after which the lease expires unless it is renewed.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: i64,
}

/// Reply to a request for a lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Id of the lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// Reply to a transaction that was executed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TxnCommitted {
    /// The revision of its changes.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// Reply to a transaction whose guards did not hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnConflict {
    /// The keys whose guards failed.
    #[serde(default)]
    pub failed: Vec<String>,
}
