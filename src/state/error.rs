//! Errors of calls to the state store, and the outcomes of a compare-and-swap transaction.

/// Why a call to the state store has no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StateStoreError {
    /// There was no connection, so that the request was not sent and nothing was executed.
    #[error("no connection to the state store, the request was not sent")]
    NotSent,
    /// The state store refused the request with this HTTP status, so that nothing was executed.
    #[error("the state store refused the request with status {0}")]
    Refused(u16),
    /// The request would have exceeded this controller's own share of the rate limits and was not sent.
    #[error("this controller's share of the state store's rate limits is used up, the request was not sent")]
    RateBudgetExceeded,
    /// The request was sent but not answered: it may have been executed, or may still be executed later.
    #[error("the state store did not answer: {0}")]
    NoAnswer(String),
    /// The lease does not exist any more: it has expired or was ended.
    #[error("the lease has expired or was ended")]
    LeaseNotFound,
    /// The revision from which changes were to be read is older than those that the state store keeps.
    #[error("the revision from which changes were to be read has been compacted")]
    RevisionCompacted,
    /// The state store does not accept the request, because a value or the transaction is too large. It must
    /// not be sent again unchanged.
    #[error("the state store rejected the request: {0}")]
    Rejected(String),
    /// The stored records have a format that this version does not read.
    #[error("the stored records have format {found}, this version reads formats up to {known}")]
    NewerRecords {
        /// The format record as it is stored.
        found: String,
        /// The latest format that this version reads.
        known: u32,
    },
    /// The answer could not be decoded.
    #[error("malformed answer from the state store: {0}")]
    Malformed(String),
}

/// Outcome of a compare-and-swap transaction that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was executed at this revision.
    Committed(u64),
    /// The guards of these keys did not hold, so that nothing was executed.
    Conflict(Vec<String>),
}
