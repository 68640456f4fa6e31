//! Composes the leader's pending writes and packs several of them into one transaction where they fit.

use serde_json::json;

use super::keys::SHARD_KEY;
use super::record_keys::{single_machine_key, BorrowedKey, LentKey, RecordKey};
use crate::fleet::{Fleet, PackKind, PendingWrite, WriteContents};
use crate::history::EstimateKey;
use crate::job_changes::StoredJob;
use crate::jobs::{JobId, RunTimes};
use crate::keys::{
    borrowed_key, done_key, job_key, lent_done_key, lent_start_mark_key, slot_key, HISTORY_PREFIX,
    MACHINES_PREFIX, RECENT_KEY, START_MARKS_PREFIX,
};
use crate::packed_records::SlotContents;
use crate::records::FinalRecord;
use crate::task_ranges::chunk_span;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{Change, Guard, Stage, Txn};

/// Maximum number of transactions composed in one call. It bounds how many transactions a write that has
/// just become urgent has to wait for.
const MAX_BATCHES: usize = 4;
/// Maximum size of a transaction's changes in bytes. The state store accepts 64 KiB for a transaction with
/// its guards.
const MAX_BATCH_BYTES: usize = 40_000;
/// Maximum number of guards in a transaction, as a multiple of the number of changes that it may hold.
const GUARDS_PER_CHANGE: usize = 4;
/// Bytes below the state store's value limit that are left unused.
const VALUE_SLACK_BYTES: usize = 64;
/// Minimum estimate in seconds by which a run time is divided.
const MIN_ESTIMATE_S: f64 = 0.001;

/// A pending write as it was composed for a transaction.
pub struct ComposedWrite {
    /// The pending write.
    pub write: PendingWrite,
    /// The contents that were composed for it, which the fleet records once they are committed.
    pub contents: WriteContents,
}

/// A transaction and the pending writes that it carries out.
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// The pending writes in the transaction.
    pub writes: Vec<ComposedWrite>,
    /// Whether the start of a task or a user waits for the transaction.
    pub urgent: bool,
    /// Size of the changes as JSON, in bytes.
    bytes: usize,
}

impl Batch {
    /// Creates a batch without changes that is guarded by the shard's revision.
    fn new(shard_revision: u64, urgent: bool) -> Batch {
        let guards = vec![Guard { key: SHARD_KEY.into(), mod_revision: shard_revision }];
        Batch { txn: Txn { guards, then: Vec::new() }, writes: Vec::new(), urgent, bytes: 0 }
    }

    /// Whether a write fits into the batch, which may hold `max_changes` changes. Urgent writes never share
    /// a transaction with other writes, because transactions of other writes have a lower priority.
    fn fits(&self, write: &Write, max_changes: usize) -> bool {
        self.urgent == write.pending.is_urgent()
            && self.txn.then.len() + write.changes.len() <= max_changes
            && self.txn.guards.len() + write.guards.len() <= GUARDS_PER_CHANGE * max_changes
            && self.bytes + write.bytes() <= MAX_BATCH_BYTES
    }

    /// Adds a write. A guard that several writes have in common is sent once.
    fn add(&mut self, write: Write) {
        self.bytes += write.bytes();
        for guard in write.guards {
            if !self.txn.guards.contains(&guard) {
                self.txn.guards.push(guard);
            }
        }
        self.txn.then.extend(write.changes);
        self.writes.push(ComposedWrite { write: write.pending, contents: write.contents });
    }
}

/// One pending write with its guards and changes.
struct Write {
    pending: PendingWrite,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    contents: WriteContents,
}

impl Write {
    /// Creates a write whose contents the fleet does not need once it is committed.
    fn new(pending: &PendingWrite, guards: Vec<Guard>, changes: Vec<Change>) -> Write {
        Write { pending: pending.clone(), guards, changes, contents: WriteContents::Nothing }
    }

    /// Adds the contents that the fleet needs once the write is committed.
    fn with_contents(self, contents: WriteContents) -> Write {
        Write { contents, ..self }
    }

    /// Size of the changes as JSON, in bytes.
    fn bytes(&self) -> usize {
        let change_bytes = |change| serde_json::to_string(change).map_or(0, |text| text.len());
        self.changes.iter().map(change_bytes).sum()
    }
}

/// Packs pending writes, in their order, into transactions of at most `max_changes` changes, each guarded by
/// the shard's revision. Writes that do not fit into the allowed number of transactions stay pending for the
/// next call.
pub fn compose_batches(
    fleet: &mut Fleet,
    shard_revision: u64,
    pending: Vec<PendingWrite>,
    max_changes: usize,
    now: Steady,
    wall: Wall,
) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for item in pending {
        let Some(write) = compose(fleet, &item, max_changes, now, wall) else { continue };
        if !batches.last().is_some_and(|batch| batch.fits(&write, max_changes)) {
            if batches.len() >= MAX_BATCHES {
                break;
            }
            batches.push(Batch::new(shard_revision, item.is_urgent()));
        }
        if let Some(batch) = batches.last_mut() {
            batch.add(write);
        }
    }
    batches
}

/// Composes a pending write; `None` if there is nothing to write any more.
fn compose(
    fleet: &mut Fleet,
    pending: &PendingWrite,
    max_changes: usize,
    now: Steady,
    wall: Wall,
) -> Option<Write> {
    match pending {
        PendingWrite::Final(id) => compose_final(fleet, pending, id, max_changes, wall),
        PendingWrite::Machines(slot) | PendingWrite::Compaction(PackKind::Machines, slot) => {
            compose_machines(fleet, pending, *slot)
        }
        PendingWrite::StartMarks(slot) | PendingWrite::Compaction(PackKind::StartMarks, slot) => {
            compose_start_marks(fleet, pending, *slot)
        }
        PendingWrite::History(bucket) => Some(compose_history(fleet, pending, *bucket)),
        PendingWrite::LentStartMark(id) => compose_lent_start_mark(fleet, pending, id),
        PendingWrite::Done(id, chunk) => compose_done(fleet, pending, id, *chunk),
        PendingWrite::RecentJobs => Some(compose_recent(fleet, pending, now, wall)),
        PendingWrite::OrphanedRow(key, mod_revision) => {
            Some(compose_orphan_deletion(fleet, pending, key, *mod_revision))
        }
        PendingWrite::ObsoleteMachineRecord(id, mod_revision) => {
            Some(compose_deletion(pending, single_machine_key(id), *mod_revision))
        }
    }
}

/// Maximum size in bytes of the values that are composed: the state store's limit less the slack.
fn max_value_bytes(fleet: &Fleet) -> usize {
    fleet.max_value_bytes().saturating_sub(VALUE_SLACK_BYTES)
}

/// Composes the write of a history bucket.
fn compose_history(fleet: &mut Fleet, pending: &PendingWrite, bucket: u32) -> Write {
    let value = fleet.history.records_to_store(bucket, max_value_bytes(fleet));
    let key = slot_key(HISTORY_PREFIX, bucket);
    let guard = Guard { key: key.clone(), mod_revision: fleet.history.mod_revision(bucket) };
    Write::new(pending, vec![guard], vec![Change::put(key, json!(value))])
}

/// Composes the write of the list of recent jobs, which has no guard besides the shard's revision.
fn compose_recent(fleet: &Fleet, pending: &PendingWrite, now: Steady, wall: Wall) -> Write {
    let list = fleet.recent_job_records(now, wall, max_value_bytes(fleet));
    Write::new(pending, Vec::new(), vec![Change::put(RECENT_KEY, json!(list))])
}

/// Composes the deletion of a record that is no longer needed.
fn compose_deletion(pending: &PendingWrite, key: String, mod_revision: u64) -> Write {
    Write::new(pending, vec![Guard { key: key.clone(), mod_revision }], vec![Change::drop(key)])
}

/// Composes the deletion of a row that an ended job has left behind. The deletion is also guarded by the
/// revision of the job's record, so that it fails if that record is not as it is known here.
fn compose_orphan_deletion(fleet: &Fleet, pending: &PendingWrite, key: &str, mod_revision: u64) -> Write {
    let mut write = compose_deletion(pending, key.to_string(), mod_revision);
    write.guards.extend(match RecordKey::parse(key) {
        RecordKey::DoneChunk { job, .. }
        | RecordKey::Lent(LentKey::DoneChunk { job, .. } | LentKey::StartMark(job)) => {
            Some(Guard { key: job_key(job), mod_revision: fleet.job_record_revision(job) })
        }
        RecordKey::Borrowed(BorrowedKey::DoneChunk { job, .. }) => {
            Some(Guard { key: borrowed_key(job), mod_revision: fleet.borrowed_record_revision(job) })
        }
        _ => None,
    });
    write
}

/// Composes the end of a job. The final record replaces the live one, and the chunks of done ranges are
/// deleted, as many as the transaction may still hold.
fn compose_final(
    fleet: &mut Fleet,
    pending: &PendingWrite,
    id: &JobId,
    max_changes: usize,
    wall: Wall,
) -> Option<Write> {
    add_to_history(fleet, id, wall);
    let job = fleet.jobs.get(id)?;
    // The record may still contain a loan although all tasks are done. It then has a placeholder.
    let placeholder_revision = fleet.placeholder_revision(id);
    let stored = StoredJob { id, mod_revision: job.mod_revision, placeholder_revision };
    let Txn { guards, then: mut changes } =
        stored.end(FinalRecord { stage: Stage::Done, tasks: job.spec.tasks });
    let free_changes = max_changes.saturating_sub(changes.len());
    let deleted: Vec<u32> = job.done_chunks.keys().take(free_changes).copied().collect();
    changes.extend(deleted.iter().map(|chunk| Change::drop(done_key(id, *chunk))));
    Some(Write::new(pending, guards, changes).with_contents(WriteContents::RemovedDoneChunks(deleted)))
}

/// Adds the run times of a finished job to the history. They are added only once, even if the job's end has
/// to be written again.
fn add_to_history(fleet: &mut Fleet, id: &JobId, wall: Wall) {
    let Some(job) = fleet.jobs.get_mut(id) else { return };
    let RunTimes { total, count } = job.run_times;
    if count == 0 {
        return;
    }
    job.run_times.count = 0;
    let stated_s = job.spec.estimate_s;
    let key = EstimateKey { team: job.spec.team.clone(), stated: Micros::from_secs(stated_s) };
    let ratio = total.secs() / f64::from(count) / stated_s.max(MIN_ESTIMATE_S);
    fleet.history.add(&key, wall, ratio);
}

/// Composes the write of a slot of packed machine records.
fn compose_machines(fleet: &Fleet, pending: &PendingWrite, slot: u32) -> Option<Write> {
    let SlotContents { mod_revision, version, records } = fleet.machine_records.slot(slot)?;
    let key = slot_key(MACHINES_PREFIX, slot);
    let contents = WriteContents::Machines(records.keys().cloned().collect(), version);
    let change = Change::put(key.clone(), json!(records));
    Some(Write::new(pending, vec![Guard { key, mod_revision }], vec![change]).with_contents(contents))
}

/// Composes the write of a slot of packed start marks.
fn compose_start_marks(fleet: &Fleet, pending: &PendingWrite, slot: u32) -> Option<Write> {
    let SlotContents { mod_revision, version, records } = fleet.start_marks.slot(slot)?;
    let key = slot_key(START_MARKS_PREFIX, slot);
    let start_marks = records.iter().map(|(id, mark)| (id.clone(), *mark)).collect();
    let change = Change::put(key.clone(), json!(records));
    let write = Write::new(pending, vec![Guard { key, mod_revision }], vec![change]);
    Some(write.with_contents(WriteContents::StartMarks(start_marks, version)))
}

/// Composes the write of a chunk of a job's done ranges, with its copy if copies are kept for the job.
fn compose_done(fleet: &Fleet, pending: &PendingWrite, id: &JobId, chunk: u32) -> Option<Write> {
    let job = fleet.jobs.get(id)?;
    let span = chunk_span(chunk);
    let tasks = job.done.within(span.start, span.end);
    let key = job.done_chunk_key(chunk);
    let mod_revision = job.done_chunks.get(&chunk).copied().unwrap_or(0);
    let text = json!(tasks.text());
    let mut guards = vec![
        Guard { key: job.record_key(), mod_revision: job.mod_revision },
        Guard { key: key.clone(), mod_revision },
    ];
    let mut changes = vec![Change::put(key, text.clone())];
    let is_copied = job.copy.is_kept;
    if is_copied {
        let key = lent_done_key(id, chunk);
        let mod_revision = job.copy.done_chunks.get(&chunk).copied().unwrap_or(0);
        guards.push(Guard { key: key.clone(), mod_revision });
        changes.push(Change::put(key, text));
    }
    Some(Write::new(pending, guards, changes).with_contents(WriteContents::Done { tasks, is_copied }))
}

/// Composes the write of the copy of a lent job's start mark.
fn compose_lent_start_mark(fleet: &Fleet, pending: &PendingWrite, id: &JobId) -> Option<Write> {
    let job = fleet.jobs.get(id)?;
    let mark = job.wanted_start_mark;
    let key = lent_start_mark_key(id);
    let guards = vec![
        Guard { key: job.record_key(), mod_revision: job.mod_revision },
        Guard { key: key.clone(), mod_revision: job.copy.start_mark_revision },
    ];
    let change = Change::put(key, json!(mark));
    Some(Write::new(pending, guards, vec![change]).with_contents(WriteContents::LentStartMark(mark)))
}
