//! Errors of calls to the state store, and the outcomes of a compare-and-swap transaction.

/// Why a call to the state store has no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StateStoreError {
    /// No connection, so that the request was not sent: nothing was executed.
    #[error("the state store refused the request with status 0")]
    NotSent,
    /// The store, or its rate limits, refused with this HTTP status: nothing was executed.
    #[error("the state store refused the request with status {0}")]
    Refused(u16),
    /// Over this controller's own share of the rate limits: nothing was sent.
    #[error("over this node's share of the state store's rate limits")]
    RateBudgetExceeded,
    /// No answer: the request may have been executed, or may yet be.
    #[error("the state store did not answer: {0}")]
    NoAnswer(String),
    /// The lease is gone (lease expiry, or it was ended).
    #[error("the lease is gone")]
    LeaseNotFound,
    /// The watch's revision is older than the store keeps.
    #[error("the watch revision is compacted away")]
    RevisionCompacted,
    /// The store takes no such request: a value or a transaction is too large. Never to be sent
    /// again as it is.
    #[error("the state store rejected the request: {0}")]
    Rejected(String),
    /// The records are of a format that this version does not read.
    #[error("records of format {found}, this version reads up to {known}")]
    NewerRecords {
        /// The format as it is stored.
        found: String,
        /// The latest format that this version reads.
        known: u32,
    },
    /// The answer could not be decoded.
    #[error("malformed answer from the state store: {0}")]
    Malformed(String),
}

/// Result of a compare-and-swap transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// Executed at this revision.
    Committed(u64),
    /// These guards (keys) did not hold: nothing was executed.
    Conflict(Vec<String>),
}
