//! The leader's use of the state store: winning an election, rebuilding the fleet from the stored
//! records, and composing the transactions that only the leader may commit.
//!
//! - [`election`](try_become_leader): leader election by a lease and one compare-and-swap
//!   transaction, which yields the fencing token;
//! - [`rebuild`](rebuild()): reads all records after a won election;
//! - [`update_from_store`]: updates the fleet with one key that was read back after a conflict or after a
//!   write whose outcome is unknown;
//! - [`read_jobs_with_loans`]: reads the stored progress of jobs with loans. A follower uses it to copy that
//!   progress while the leader runs a version that writes no copies;
//! - [`compose_batches`] and [`loan_txn`]: put pending writes into transactions.
//!
//! All records form one shard, which an elected leader takes over as a whole. Every write of a leader is
//! guarded by the shard's revision, so that a leader that has been replaced cannot write any more.

mod election;
mod keys;
mod loan_records;
mod read_back;
mod rebuild;
mod record_keys;
mod restored_records;
mod stored_progress;
mod writes;

pub use election::{try_become_leader, FormatRecord, LeaderRecord, LeadershipTerm};
pub use keys::{FORMAT_KEY, FORMAT_VERSION, LEADER_KEY, MACHINE_TYPES_KEY, SHARD_KEY, TERM_KEY};
pub use loan_records::{loan_txn, read_loan_records};
pub use read_back::{mark_unreadable_finals, read_key, update_from_store, KeyState};
pub use rebuild::{load_records, read_machine_types, rebuild};
pub use stored_progress::{
    read_jobs_with_loans, read_start_marks, JobWithLoans, ProgressError, StoredProgress,
};
pub use writes::{compose_batches, Batch, ComposedWrite};
