//! Packs many small records into few values, because the state store's rate limit counts changes and not
//! bytes.
//!
//! Each value (a *slot*) is always rewritten as a whole. The write is guarded by the slot's own
//! `mod_revision`, so that an earlier write that is executed late fails; see docs/safety.md.
//!
//! A slot that was written under a larger size limit is emptied. Its records are first written to other
//! slots. The slot itself is rewritten only when all these writes have been answered. Until then its stored
//! value stays as it is, so that no record is missing at any moment.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The records of a slot, by id.
pub type SlotRecords<T> = BTreeMap<Arc<str>, T>;

/// Minimum of the size limit of a slot in bytes, however small the limit of a value is.
const MIN_SLOT_BYTES: usize = 256;
/// Bytes below the limit of a value that are left unused.
const RESERVED_BYTES: usize = 64;
/// Bytes of a slot without records, which is stored as `{}`.
const EMPTY_SLOT_BYTES: usize = 2;
/// Bytes added to the size of a record. They cover quotes and separators, and the digits by which the numbers
/// in the record may grow without a move to another slot.
const RECORD_OVERHEAD_BYTES: usize = 16;
/// Highest slot number that is loaded. No leader writes a higher one.
const MAX_SLOT: u32 = 100_000;

/// Records by id in numbered slots, each of which fits into one value.
#[derive(Debug)]
pub struct PackedRecords<T> {
    /// Maximum size of a slot in bytes.
    max_slot_bytes: usize,
    slots: Vec<Slot<T>>,
    /// The slot of each record, by the record's id.
    slot_by_id: BTreeMap<Arc<str>, usize>,
}

/// The contents of a slot as they are to be written.
#[derive(Debug)]
pub struct SlotContents<'a, T> {
    /// `mod_revision` of the stored value, for the guard of the write; 0 if no value is stored.
    pub mod_revision: u64,
    /// Version of the contents, to be passed to [`PackedRecords::mark_written`] after the write.
    pub version: u64,
    /// The records.
    pub records: &'a SlotRecords<T>,
}

/// A write that has to precede another one: the write of this slot at this version or a later one.
#[derive(Clone, Copy, Debug)]
struct Prerequisite {
    slot: usize,
    version: u64,
}

#[derive(Debug)]
struct Slot<T> {
    /// `mod_revision` of the stored value; 0 if no value is stored.
    mod_revision: u64,
    /// Estimated size of the value in bytes, not below its real size.
    bytes: usize,
    records: SlotRecords<T>,
    /// Version of the contents, which is raised with each change.
    version: u64,
    /// Version of the contents that was last written.
    written_version: u64,
    /// Version of the last urgent change, for whose write a start waits.
    urgent_version: u64,
    /// Writes of other slots that have to precede the next write of this one. Those slots contain records
    /// that are no longer in this slot but still in its stored value.
    prerequisites: Vec<Prerequisite>,
    /// Whether this version cannot read the stored value. The slot is then never written.
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
    /// Whether the slot has an urgent change that has not been written yet.
    fn is_urgent(&self) -> bool {
        self.urgent_version > self.written_version
    }

    /// Whether a new record of `record_bytes` bytes may be placed in the slot.
    fn has_space_for(&self, record_bytes: usize, max_slot_bytes: usize) -> bool {
        self.bytes + record_bytes <= max_slot_bytes && self.prerequisites.is_empty() && !self.unreadable
    }

    /// Reduces the estimated size after a record of `record_bytes` bytes was removed.
    fn subtract_bytes(&mut self, record_bytes: usize) {
        self.bytes = self.bytes.saturating_sub(record_bytes).max(EMPTY_SLOT_BYTES);
    }
}

impl<T: Clone + PartialEq + serde::Serialize> PackedRecords<T> {
    /// Creates an empty set of records that is stored in values of at most `max_value_bytes` bytes.
    pub fn new(max_value_bytes: usize) -> PackedRecords<T> {
        PackedRecords {
            max_slot_bytes: PackedRecords::<T>::max_slot_bytes(max_value_bytes),
            slots: Vec::new(),
            slot_by_id: BTreeMap::new(),
        }
    }

    /// Maximum size of a slot in bytes, given the limit of a value.
    fn max_slot_bytes(max_value_bytes: usize) -> usize {
        max_value_bytes.saturating_sub(RESERVED_BYTES).max(MIN_SLOT_BYTES)
    }

    /// Reduces the limit of a value. The records of slots above the new limit are moved to other slots.
    pub fn reduce_limit(&mut self, max_value_bytes: usize) {
        let max_slot_bytes = PackedRecords::<T>::max_slot_bytes(max_value_bytes);
        self.max_slot_bytes = self.max_slot_bytes.min(max_slot_bytes);
        self.empty_oversized();
    }

    /// Estimated size of a record in a slot, in bytes.
    fn record_bytes(id: &str, record: &T) -> usize {
        serde_json::to_string(record).map_or(0, |json| json.len()) + id.len() + RECORD_OVERHEAD_BYTES
    }

    /// Inserts or replaces a record. The write of its slot becomes urgent.
    pub fn put(&mut self, id: &Arc<str>, record: T) {
        let record_bytes = PackedRecords::record_bytes(id, &record);
        let index = match self.slot_by_id.get(id) {
            Some(&index) => index,
            None => self.place(id, record_bytes),
        };
        let slot = &mut self.slots[index];
        if let Some(replaced) = slot.records.insert(id.clone(), record) {
            // If the size were not updated, a slot whose records grow would seem to have more space than it
            // has, and its value would exceed the limit.
            let replaced_bytes = PackedRecords::record_bytes(id, &replaced);
            slot.bytes = slot.bytes.saturating_sub(replaced_bytes) + record_bytes;
        }
        slot.version += 1;
        slot.urgent_version = slot.version;
    }

    /// Finds a slot for a new record of `record_bytes` bytes, adds that size to the slot's and returns the
    /// slot's index.
    fn place(&mut self, id: &Arc<str>, record_bytes: usize) -> usize {
        let max_slot_bytes = self.max_slot_bytes;
        let has_space = |slot: &Slot<T>| slot.has_space_for(record_bytes, max_slot_bytes);
        // A slot that has to be written anyway is preferred: the record then costs no further change.
        let urgent = self.slots.iter().position(|slot| slot.is_urgent() && has_space(slot));
        let index = urgent.or_else(|| self.slots.iter().position(has_space)).unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        self.slot_by_id.insert(id.clone(), index);
        self.slots[index].bytes += record_bytes;
        index
    }

    /// Removes a record. Its slot will be rewritten, but the write is not urgent.
    pub fn remove(&mut self, id: &str) {
        let Some(index) = self.slot_by_id.remove(id) else { return };
        let slot = &mut self.slots[index];
        if let Some(record) = slot.records.remove(id) {
            slot.subtract_bytes(PackedRecords::record_bytes(id, &record));
            slot.version += 1;
        }
    }

    /// Returns a record, whether or not it has been written.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.slot_by_id.get(id).and_then(|&index| self.slots[index].records.get(id))
    }

    /// Returns a slot, which is created if it does not exist; `None` if its number is above [`MAX_SLOT`].
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

    /// Loads a slot from its stored value. A record may be stored in two slots, if an earlier leader ended
    /// between the two writes that move it. `newer` then chooses between the two copies. Call
    /// [`PackedRecords::empty_oversized`] when all slots have been loaded.
    pub fn load(&mut self, slot: u32, mod_revision: u64, records: SlotRecords<T>, newer: fn(T, T) -> T) {
        let Some(loaded) = self.slot_mut(slot) else { return };
        loaded.mod_revision = mod_revision;
        for (id, stored) in records {
            self.load_record(slot as usize, id, stored, newer);
        }
    }

    /// Loads one record into the slot with this index. If another slot has a copy, it is removed there, but
    /// that slot is not rewritten before this one.
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

    /// Marks a slot whose stored value cannot be read, so that it is never written.
    pub fn mark_unreadable(&mut self, slot: u32) {
        if let Some(slot) = self.slot_mut(slot) {
            slot.unreadable = true;
        }
    }

    /// Moves the records of all slots above the limit to other slots.
    pub fn empty_oversized(&mut self) {
        for index in 0..self.slots.len() {
            if self.slots[index].bytes > self.max_slot_bytes {
                self.empty_slot(index);
            }
        }
    }

    /// Moves all records of a slot to other slots. The slot is rewritten after the slots that receive them.
    fn empty_slot(&mut self, index: usize) {
        let slot = &mut self.slots[index];
        let records = std::mem::take(&mut slot.records);
        slot.bytes = EMPTY_SLOT_BYTES;
        slot.version += 1;
        // This prerequisite is always fulfilled. It only prevents that records are placed in this slot again
        // before it has been rewritten.
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

    /// Whether a slot may be written now: it is readable, and its prerequisites have been written.
    fn may_write(&self, slot: &Slot<T>) -> bool {
        let is_written = |before: &Prerequisite| self.slots[before.slot].written_version >= before.version;
        !slot.unreadable && slot.prerequisites.iter().all(is_written)
    }

    /// Numbers of the changed slots that may be written now: those with urgent changes if `urgent`, otherwise
    /// those without.
    pub fn pending(&self, urgent: bool) -> impl Iterator<Item = u32> + '_ {
        self.slots.iter().enumerate().filter_map(move |(index, slot)| {
            let changed = slot.version > slot.written_version;
            (changed && slot.is_urgent() == urgent && self.may_write(slot)).then_some(index as u32)
        })
    }

    /// Returns the contents of a slot as they are to be written; `None` if the slot does not exist.
    pub fn slot(&self, slot: u32) -> Option<SlotContents<'_, T>> {
        self.slots.get(slot as usize).map(|slot| SlotContents {
            mod_revision: slot.mod_revision,
            version: slot.version,
            records: &slot.records,
        })
    }

    /// Records that the contents of a slot at `version` were written at `revision`.
    pub fn mark_written(&mut self, slot: u32, version: u64, revision: u64) {
        if let Some(slot) = self.slots.get_mut(slot as usize) {
            slot.mod_revision = slot.mod_revision.max(revision);
            slot.written_version = slot.written_version.max(version);
            slot.prerequisites.clear();
        }
    }

    /// Sets the `mod_revision` of a slot that was read back. Only this leader's own earlier writes can have
    /// changed the stored value, so that the records in memory are newer and can be written with this
    /// `mod_revision` as the guard.
    pub fn set_mod_revision(&mut self, slot: u32, mod_revision: u64) {
        if let Some(slot) = self.slots.get_mut(slot as usize) {
            slot.mod_revision = mod_revision;
        }
    }
}
