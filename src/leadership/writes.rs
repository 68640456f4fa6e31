//! What waits to be written, put into transactions.

use serde_json::json;

use super::SHARD_KEY;
use crate::fleet::{Fleet, PackKind, PendingWrite, WriteContents};
use crate::history::EstimateKey;
use crate::jobs::JobId;
use crate::keys::{
    done_key, final_key, job_key, slot_key, HIGH_WATER_MARKS_PREFIX, HISTORY_PREFIX, MACHINES_PREFIX,
    RECENT_KEY,
};
use crate::records::FinalRecord;
use crate::task_ranges::chunk_span;
use crate::time::{Micros, Steady, Wall};
use crate::wire::{Change, Guard, Stage, Txn};

/// Most transactions that are put together at once: what is newly urgent does not wait for more.
const MAX_BATCHES: usize = 4;
/// Most bytes of the changes in a transaction, which may take 64 KiB with its guards.
const MAX_BATCH_BYTES: usize = 40_000;
/// Guards for each change that a transaction may hold.
const GUARDS_PER_CHANGE: usize = 4;
/// Bytes of a value that are left free.
const VALUE_SLACK: usize = 64;

/// A transaction and what it writes.
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// What it writes, and what has to be remembered of it.
    pub items: Vec<(PendingWrite, WriteContents)>,
    /// Somebody waits for it.
    pub urgent: bool,
    bytes: usize,
}

impl Batch {
    /// One without changes yet, guarded by the part.
    fn new(shard_revision: u64, urgent: bool) -> Batch {
        let guards = vec![Guard { key: SHARD_KEY.into(), mod_revision: shard_revision }];
        Batch { txn: Txn { guards, then: Vec::new() }, items: Vec::new(), urgent, bytes: 0 }
    }

    /// Whether a write fits, within so many changes. What somebody waits for never shares a transaction
    /// with what can wait.
    fn fits(&self, write: &Write, max_changes: usize) -> bool {
        self.urgent == write.item.urgent()
            && self.txn.then.len() + write.changes.len() <= max_changes
            && self.txn.guards.len() + write.guards.len() <= GUARDS_PER_CHANGE * max_changes
            && self.bytes + write.bytes() <= MAX_BATCH_BYTES
    }

    fn add(&mut self, write: Write) {
        self.bytes += write.bytes();
        for guard in write.guards {
            if !self.txn.guards.contains(&guard) {
                self.txn.guards.push(guard);
            }
        }
        self.txn.then.extend(write.changes);
        self.items.push((write.item, write.contents));
    }
}

/// One thing to write.
struct Write {
    item: PendingWrite,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    contents: WriteContents,
}

impl Write {
    fn new(item: &PendingWrite, guards: Vec<Guard>, changes: Vec<Change>) -> Write {
        Write { item: item.clone(), guards, changes, contents: WriteContents::Nothing }
    }

    fn with_contents(self, contents: WriteContents) -> Write {
        Write { contents, ..self }
    }

    fn bytes(&self) -> usize {
        self.changes.iter().map(|change| serde_json::to_string(change).map_or(0, |s| s.len())).sum()
    }
}

/// Puts what waits to be written into transactions, each guarded by the part.
pub fn batches(
    fleet: &mut Fleet,
    shard_revision: u64,
    pending: Vec<PendingWrite>,
    max_changes: usize,
    now: Steady,
    wall: Wall,
) -> Vec<Batch> {
    let mut out: Vec<Batch> = Vec::new();
    for item in pending {
        let Some(write) = compose(fleet, &item, max_changes, now, wall) else { continue };
        if !out.last().is_some_and(|batch| batch.fits(&write, max_changes)) {
            if out.len() >= MAX_BATCHES {
                break;
            }
            out.push(Batch::new(shard_revision, item.urgent()));
        }
        if let Some(batch) = out.last_mut() {
            batch.add(write);
        }
    }
    out
}

/// What has to be written for an item; none if there is nothing any more.
fn compose(
    fleet: &mut Fleet,
    item: &PendingWrite,
    max_changes: usize,
    now: Steady,
    wall: Wall,
) -> Option<Write> {
    match item {
        PendingWrite::Final(id) => compose_final(fleet, item, id, max_changes, wall),
        PendingWrite::Machines(slot) | PendingWrite::Tidy(PackKind::Machines, slot) => {
            compose_machines(fleet, item, *slot)
        }
        PendingWrite::Marks(slot) | PendingWrite::Tidy(PackKind::Marks, slot) => {
            compose_marks(fleet, item, *slot)
        }
        PendingWrite::History(bucket) => {
            let value = fleet.history.value(*bucket, fleet.value_bytes().saturating_sub(VALUE_SLACK));
            let guard = Guard {
                key: slot_key(HISTORY_PREFIX, *bucket),
                mod_revision: fleet.history.mod_revision(*bucket),
            };
            let change = Change::put(slot_key(HISTORY_PREFIX, *bucket), json!(value));
            Some(Write::new(item, vec![guard], vec![change]))
        }
        PendingWrite::Done(id, chunk) => compose_done(fleet, item, id, *chunk),
        PendingWrite::Recent => {
            let list = fleet.recent(now, wall, fleet.value_bytes().saturating_sub(VALUE_SLACK));
            Some(Write::new(item, Vec::new(), vec![Change::put(RECENT_KEY, json!(list))]))
        }
        PendingWrite::Orphan(key, mod_revision) => Some(compose_drop(item, key.clone(), *mod_revision)),
        PendingWrite::Unenrol(id, mod_revision) => {
            Some(compose_drop(item, format!("machine/{id}"), *mod_revision))
        }
    }
}

fn compose_drop(item: &PendingWrite, key: String, mod_revision: u64) -> Write {
    Write::new(item, vec![Guard { key: key.clone(), mod_revision }], vec![Change::drop(key)])
}

/// The end of a job: its final record takes the place of the live one, and as many of its chunks of done
/// ranges go as the transaction has room for.
fn compose_final(
    fleet: &mut Fleet,
    item: &PendingWrite,
    id: &JobId,
    max_changes: usize,
    wall: Wall,
) -> Option<Write> {
    add_to_history(fleet, id, wall);
    let job = fleet.jobs.get(id)?;
    let guards = vec![
        Guard { key: job_key(id), mod_revision: job.mod_revision },
        Guard { key: final_key(id), mod_revision: 0 },
    ];
    let final_record = FinalRecord { stage: Stage::Done, tasks: job.spec.tasks };
    let mut changes = vec![Change::drop(job_key(id)), Change::put(final_key(id), json!(final_record))];
    let room = max_changes.saturating_sub(changes.len());
    let dropped: Vec<u32> = job.chunks.keys().take(room).copied().collect();
    changes.extend(dropped.iter().map(|chunk| Change::drop(done_key(id, *chunk))));
    Some(Write::new(item, guards, changes).with_contents(WriteContents::DroppedChunks(dropped)))
}

/// Counts the run times of a job that is over, once, even if its end has to be written again.
fn add_to_history(fleet: &mut Fleet, id: &JobId, wall: Wall) {
    let Some(job) = fleet.jobs.get_mut(id) else { return };
    let (total, count) = job.ran;
    if count == 0 {
        return;
    }
    job.ran.1 = 0;
    let stated = job.spec.estimate_s;
    let key = EstimateKey { team: job.spec.team.clone(), stated: Micros::from_secs(stated) };
    let ratio = total.secs() / f64::from(count) / stated.max(0.001);
    fleet.history.add(&key, wall, ratio);
}

fn compose_machines(fleet: &Fleet, item: &PendingWrite, slot: u32) -> Option<Write> {
    let (mod_revision, version, items) = fleet.packs.slot(slot)?;
    let key = slot_key(MACHINES_PREFIX, slot);
    let contents = WriteContents::Machines(items.keys().cloned().collect(), version);
    let change = Change::put(key.clone(), json!(items));
    Some(Write::new(item, vec![Guard { key, mod_revision }], vec![change]).with_contents(contents))
}

fn compose_marks(fleet: &Fleet, item: &PendingWrite, slot: u32) -> Option<Write> {
    let (mod_revision, version, items) = fleet.marks.slot(slot)?;
    let key = slot_key(HIGH_WATER_MARKS_PREFIX, slot);
    let marks = items.iter().map(|(id, high)| (id.clone(), *high)).collect();
    let change = Change::put(key.clone(), json!(items));
    let write = Write::new(item, vec![Guard { key, mod_revision }], vec![change]);
    Some(write.with_contents(WriteContents::Marks(marks, version)))
}

fn compose_done(fleet: &Fleet, item: &PendingWrite, id: &JobId, chunk: u32) -> Option<Write> {
    let job = fleet.jobs.get(id)?;
    let span = chunk_span(chunk);
    let tasks = job.done.within(span.start, span.end);
    let key = job.done_chunk_key(chunk);
    let mod_revision = job.chunks.get(&chunk).copied().unwrap_or(0);
    let guards = vec![
        Guard { key: job.record_key(), mod_revision: job.mod_revision },
        Guard { key: key.clone(), mod_revision },
    ];
    let change = Change::put(key, json!(tasks.text()));
    Some(Write::new(item, guards, vec![change]).with_contents(WriteContents::Done(tasks)))
}
