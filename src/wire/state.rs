//! The state service: rows, transactions and the events of a watch.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of the state service with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// Revision of the latest change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A page of keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// The keys.
    pub rows: Vec<Row>,
    /// Whether there is more.
    #[serde(default)]
    pub more: bool,
    /// The service's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
}

/// A condition on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version it must have; 0: none.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Write.
    Put {
        /// The key.
        put: String,
        /// The value.
        value: Value,
        /// The lease it hangs on.
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove.
    Drop {
        /// The key.
        drop: String,
    },
}

impl Change {
    /// A put without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put { put: key.into(), value, lease: None }
    }

    /// A removal.
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

/// A transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub then: Vec<Change>,
}

/// A change seen by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key written, if it was.
    #[serde(default)]
    pub put: Option<String>,
    /// The key removed, if it was.
    #[serde(default)]
    pub drop: Option<String>,
    /// The value written.
    #[serde(default)]
    pub value: Value,
    /// The revision.
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// What a watch returns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The service's revision.
    #[serde(rename = "harvest")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Event>,
}
