//! Many small records packed into few values, since the state store's rate limit counts changes and
//! not bytes.
//!
//! Each value (a *slot*) is rewritten whole and guarded by its own `mod_revision`, so that a late
//! copy of an earlier write fails; see docs/safety.md.
//!
//! A slot that was written under a larger limit is emptied: its records are first written to other
//! slots, and only when all of those writes have been answered is the slot itself rewritten. Until
//! then it stays readable as it is, so no record is missing at any moment.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The records of a slot, by id.
pub type SlotRecords<T> = BTreeMap<Arc<str>, T>;

/// Least bytes that a slot may be limited to, however small the limit of a value is.
const MIN_SLOT_BYTES: usize = 256;
/// Bytes of a value that are left free.
const RESERVED_BYTES: usize = 64;
/// Bytes of a slot without records: `{}`.
const EMPTY_SLOT_BYTES: usize = 2;
/// Bytes added to a record's size: its quotes and separators, and digits by which its numbers may
/// grow without a move to another slot.
const RECORD_OVERHEAD_BYTES: usize = 16;
/// Highest slot number that is loaded; no leader writes a higher one.
const MAX_SLOT: u32 = 100_000;

/// Records by id in numbered slots, each within the limit of a value.
#[derive(Debug)]
pub struct PackedRecords<T> {
    /// Most bytes in a slot.
    max_slot_bytes: usize,
    slots: Vec<Slot<T>>,
    /// The slot of each record, by the record's id.
    slot_by_id: BTreeMap<Arc<str>, usize>,
}

/// The contents of a slot as they are to be written.
#[derive(Debug)]
pub struct SlotContents<'a, T> {
    /// `mod_revision` of the stored value, for the guard of the write; 0: not stored.
    pub mod_revision: u64,
    /// Version of the contents, to be passed to [`PackedRecords::mark_written`].
    pub version: u64,
    /// The records.
    pub records: &'a SlotRecords<T>,
}

/// A write that has to precede another one: of this slot, at this version or later.
#[derive(Clone, Copy, Debug)]
struct Prerequisite {
    slot: usize,
    version: u64,
}

#[derive(Debug)]
struct Slot<T> {
    /// Revision of the stored value; 0: not stored.
    mod_revision: u64,
    /// Estimated size of the value, at least its real size.
    bytes: usize,
    records: SlotRecords<T>,
    /// Counts changes; a write carries the version of the contents that it writes.
    version: u64,
    written_version: u64,
    /// Version of the last change that something waits for.
    urgent_version: u64,
    /// Writes of slots that hold records which the stored value of this one still has.
    prerequisites: Vec<Prerequisite>,
    /// Its stored value cannot be read by this program version: it is never written.
    unreadable: bool,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Slot {
            mod_revision: 0,
            bytes: EMPTY_SLOT_BYTES,
            records: BTreeMap::new(),
            version: 0,
            written_version: 0,
            urgent_version: 0,
            prerequisites: Vec::new(),
            unreadable: false,
        }
    }
}

impl<T> Slot<T> {
    /// Whether something waits for it to be written.
    fn is_urgent(&self) -> bool {
        self.urgent_version > self.written_version
    }

    /// Whether a new record of a size, in bytes, may be placed in it.
    fn can_hold(&self, record_bytes: usize, max_slot_bytes: usize) -> bool {
        self.bytes + record_bytes <= max_slot_bytes && self.prerequisites.is_empty() && !self.unreadable
    }

    /// Counts the removal of a record of a size.
    fn subtract_bytes(&mut self, record_bytes: usize) {
        self.bytes = self.bytes.saturating_sub(record_bytes).max(EMPTY_SLOT_BYTES);
    }
}

impl<T: Clone + PartialEq + serde::Serialize> PackedRecords<T> {
    /// No records yet, in values of at most `max_value_bytes` bytes.
    pub fn new(max_value_bytes: usize) -> PackedRecords<T> {
        PackedRecords {
            max_slot_bytes: PackedRecords::<T>::max_slot_bytes(max_value_bytes),
            slots: Vec::new(),
            slot_by_id: BTreeMap::new(),
        }
    }

    fn max_slot_bytes(max_value_bytes: usize) -> usize {
        max_value_bytes.saturating_sub(RESERVED_BYTES).max(MIN_SLOT_BYTES)
    }

    /// Keeps values to a smaller limit from now on; slots above it are emptied into others.
    pub fn reduce_limit(&mut self, max_value_bytes: usize) {
        let max_slot_bytes = PackedRecords::<T>::max_slot_bytes(max_value_bytes);
        self.max_slot_bytes = self.max_slot_bytes.min(max_slot_bytes);
        self.empty_oversized();
    }

    fn record_bytes(id: &str, record: &T) -> usize {
        serde_json::to_string(record).map_or(0, |json| json.len()) + id.len() + RECORD_OVERHEAD_BYTES
    }

    /// Sets a record. Its slot is to be written urgently.
    pub fn put(&mut self, id: &Arc<str>, record: T) {
        let record_bytes = PackedRecords::record_bytes(id, &record);
        let index = match self.slot_by_id.get(id) {
            Some(&index) => index,
            None => self.place(id, record_bytes),
        };
        let slot = &mut self.slots[index];
        if let Some(replaced) = slot.records.insert(id.clone(), record) {
            // Counted again: a slot whose records grow would otherwise seem to have ever more space, and
            // outgrow the limit of a value.
            let replaced_bytes = PackedRecords::record_bytes(id, &replaced);
            slot.bytes = slot.bytes.saturating_sub(replaced_bytes) + record_bytes;
        }
        slot.version += 1;
        slot.urgent_version = slot.version;
    }

    /// Finds a slot for a new record of a size and reserves the bytes; returns the slot's index.
    fn place(&mut self, id: &Arc<str>, record_bytes: usize) -> usize {
        let max_slot_bytes = self.max_slot_bytes;
        let can_hold = |slot: &Slot<T>| slot.can_hold(record_bytes, max_slot_bytes);
        // A slot that is to be written anyway takes it without a further change.
        let urgent = self.slots.iter().position(|slot| slot.is_urgent() && can_hold(slot));
        let index = urgent.or_else(|| self.slots.iter().position(can_hold)).unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        self.slot_by_id.insert(id.clone(), index);
        self.slots[index].bytes += record_bytes;
        index
    }

    /// Removes a record; its slot is rewritten, but nothing waits for that.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.slot_by_id.remove(id) else { return };
        let slot = &mut self.slots[index];
        if let Some(record) = slot.records.remove(id) {
            slot.subtract_bytes(PackedRecords::record_bytes(id, &record));
            slot.version += 1;
        }
    }

    /// A record as it is or will be written.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.slot_by_id.get(id).and_then(|&index| self.slots[index].records.get(id))
    }

    fn slot_mut(&mut self, slot: u32) -> Option<&mut Slot<T>> {
        if slot > MAX_SLOT {
            return None;
        }
        let index = slot as usize;
        while self.slots.len() <= index {
            self.slots.push(Slot::default());
        }
        self.slots.get_mut(index)
    }

    /// Loads a slot from its stored value. An earlier leader may have ended between the two writes
    /// that move a record: `newer` then chooses between the two copies. Call
    /// [`PackedRecords::empty_oversized`] when all slots are loaded.
    pub fn load(&mut self, slot: u32, mod_revision: u64, records: SlotRecords<T>, newer: fn(T, T) -> T) {
        let Some(loaded) = self.slot_mut(slot) else { return };
        loaded.mod_revision = mod_revision;
        for (id, stored) in records {
            self.load_record(slot as usize, id, stored, newer);
        }
    }

    fn load_record(&mut self, index: usize, id: Arc<str>, stored: T, newer: fn(T, T) -> T) {
        let earlier = self.slot_by_id.insert(id.clone(), index).filter(|&other| other != index);
        let copy = earlier.and_then(|other| self.slots[other].records.remove(&id));
        let record = match copy.clone() {
            Some(copy) => newer(copy, stored.clone()),
            None => stored.clone(),
        };
        let slot = &mut self.slots[index];
        slot.bytes += PackedRecords::record_bytes(&id, &record);
        slot.version += u64::from(record != stored);
        slot.records.insert(id.clone(), record);
        let merged = Prerequisite { slot: index, version: slot.version };
        if let (Some(other), Some(copy)) = (earlier, copy) {
            let other = &mut self.slots[other];
            other.subtract_bytes(PackedRecords::record_bytes(&id, &copy));
            other.version += 1;
            other.prerequisites.push(merged);
        }
    }

    /// Notes that a slot's stored value cannot be read: it is never written.
    pub fn mark_unreadable(&mut self, slot: u32) {
        if let Some(slot) = self.slot_mut(slot) {
            slot.unreadable = true;
        }
    }

    /// Moves the records of slots above the limit to others.
    pub fn empty_oversized(&mut self) {
        for index in 0..self.slots.len() {
            if self.slots[index].bytes > self.max_slot_bytes {
                self.empty_slot(index);
            }
        }
    }

    fn empty_slot(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        let records = std::mem::take(&mut slot.records);
        slot.bytes = EMPTY_SLOT_BYTES;
        slot.version += 1;
        // Always fulfilled, but no record is placed here again before the slot is rewritten.
        slot.prerequisites.push(Prerequisite { slot: index, version: 0 });
        for (id, record) in records {
            let target_index = self.place(&id, PackedRecords::record_bytes(&id, &record));
            let target = &mut self.slots[target_index];
            target.records.insert(id, record);
            target.version += 1;
            let moved = Prerequisite { slot: target_index, version: target.version };
            self.slots[index].prerequisites.push(moved);
        }
    }

    /// Whether a slot may be written now: all that has to be written before it is.
    fn may_write(&self, slot: &Slot<T>) -> bool {
        let is_written = |before: &Prerequisite| self.slots[before.slot].written_version >= before.version;
        !slot.unreadable && slot.prerequisites.iter().all(is_written)
    }

    /// Numbers of the slots to be written: those that something waits for (`urgent`), or the others.
    pub fn pending(&self, urgent: bool) -> impl Iterator<Item = u32> + '_ {
        self.slots.iter().enumerate().filter_map(move |(index, slot)| {
            let changed = slot.version > slot.written_version;
            (changed && slot.is_urgent() == urgent && self.may_write(slot)).then_some(index as u32)
        })
    }

    /// A slot's contents as they are to be written; `None` if there is no such slot.
    pub fn slot(&self, slot: u32) -> Option<SlotContents<'_, T>> {
        self.slots.get(slot as usize).map(|slot| SlotContents {
            mod_revision: slot.mod_revision,
            version: slot.version,
            records: &slot.records,
        })
    }

    /// Notes that a slot's contents of `version` were written at a revision.
    pub fn mark_written(&mut self, slot: u32, version: u64, revision: u64) {
        if let Some(slot) = self.slots.get_mut(slot as usize) {
            slot.mod_revision = slot.mod_revision.max(revision);
            slot.written_version = slot.written_version.max(version);
            slot.prerequisites.clear();
        }
    }

    /// Sets the `mod_revision` of a slot that was read back. Only this leader's own earlier writes
    /// can have changed it, so the records held here are newer; with the right `mod_revision` they
    /// can be written.
    pub fn set_mod_revision(&mut self, slot: u32, mod_revision: u64) {
        if let Some(slot) = self.slots.get_mut(slot as usize) {
            slot.mod_revision = mod_revision;
        }
    }
}
