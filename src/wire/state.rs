//! Messages between controllers and the state store: keys with their values, compare-and-swap
//! transactions and the events of a watch.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of the state store with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// The key's value, any JSON.
    pub value: Value,
    /// Revision of the key's latest change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Reply to the read of a key that does not exist.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KeyNotFound {
    /// Revision of the state store at which the key did not exist.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// A page of the list of keys with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowPage {
    /// The keys with their values, in the order of the keys.
    pub rows: Vec<Row>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
    /// Revision of the state store at which the page was read.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// A condition of a compare-and-swap transaction on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key to which the condition applies.
    #[serde(rename = "path")]
    pub key: String,
    /// The `mod_revision` that the key must have; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

impl Guard {
    /// A guard that fails if the key exists.
    pub fn must_not_exist(key: String) -> Guard {
        Guard { key, mod_revision: 0 }
    }
}

/// A change of a key in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Creates or replaces a key.
    Put {
        /// Name of the key.
        put: String,
        /// The key's new value.
        value: Value,
        /// Id of the lease to which the key is attached; the state store removes the key on lease expiry.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Drop {
        /// Name of the key.
        drop: String,
    },
}

impl Change {
    /// A change that writes a key without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put { put: key.into(), value, lease: None }
    }

    /// A change that removes a key.
    pub fn drop(key: impl Into<String>) -> Change {
        Change::Drop { drop: key.into() }
    }

    /// Name of the key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Drop { drop } => drop,
        }
    }
}

/// A compare-and-swap transaction. The state store executes all changes if all guards hold, otherwise none.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions; all must hold.
    pub guards: Vec<Guard>,
    /// The changes; their number is limited by the setting `txn_ops`.
    pub then: Vec<Change>,
}

/// The change of one key, as returned by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Name of the key if the change wrote it.
    #[serde(default)]
    pub put: Option<String>,
    /// Name of the key if the change removed it.
    #[serde(default)]
    pub drop: Option<String>,
    /// The key's new value; null if the change removed the key.
    #[serde(default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "stamp", default)]
    pub mod_revision: u64,
}

/// Reply to a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchEvents {
    /// Revision of the state store up to which the changes are contained.
    #[serde(rename = "harvest")]
    pub revision: u64,
    /// The changes since the revision from which the watch began, in any order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds: the lease expires after this time unless it is renewed.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: i64,
}

/// Reply to a request for a lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Id of the granted lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

/// Reply to a transaction that was executed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TxnCommitted {
    /// Revision of the state store after the transaction, which is the `mod_revision` of all changed keys.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// Reply to a transaction that was not executed because guards failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnConflict {
    /// The keys whose guards failed.
    #[serde(default)]
    pub failed: Vec<String>,
}
