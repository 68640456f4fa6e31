//! Many small records packed into few values, since the state service counts changes and not
//! bytes. Each value (a *slot*) is rewritten whole and guarded by its own version, so that a late
//! copy of an earlier write fails; see docs/safety.md.
//!
//! A slot that was written under a larger limit is emptied: its records are first written to other
//! slots, and only when all of those writes have been answered is the slot itself rewritten. Until
//! then it stays readable as it is, so no record is missing at any moment.

use std::collections::BTreeMap;
use std::sync::Arc;

/// What a slot holds.
pub type SlotRecords<T> = BTreeMap<Arc<str>, T>;

/// Least bytes that a slot may be limited to.
const LEAST_LIMIT: usize = 256;
/// Bytes of a value that are left free.
const SLACK: usize = 64;
/// Highest slot number that is taken over.
const MOST_SLOTS: u32 = 100_000;

/// Records by name in numbered slots, each within the limit of a value.
#[derive(Debug)]
pub struct PackedRecords<T> {
    limit: usize,
    slots: Vec<Slot<T>>,
    of: BTreeMap<Arc<str>, usize>,
}

#[derive(Debug)]
struct Slot<T> {
    mod_revision: u64,
    bytes: usize,
    items: BTreeMap<Arc<str>, T>,
    /// Counts changes; what is written carries the count it was taken at.
    version: u64,
    written: u64,
    /// The last change that something waits for.
    urgent: u64,
    /// Slots, with their versions, that have to be written before this one: they hold records that
    /// the stored value of this one still has.
    after: Vec<(usize, u64)>,
    /// Its stored value cannot be read by this version: it is never written.
    unreadable: bool,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Slot {
            mod_revision: 0,
            bytes: 2,
            items: BTreeMap::new(),
            version: 0,
            written: 0,
            urgent: 0,
            after: Vec::new(),
            unreadable: false,
        }
    }
}

impl<T: Clone + PartialEq + serde::Serialize> PackedRecords<T> {
    /// Empty packs of values of at most `limit` bytes.
    pub fn new(limit: usize) -> PackedRecords<T> {
        PackedRecords { limit: PackedRecords::<T>::usable(limit), slots: Vec::new(), of: BTreeMap::new() }
    }

    fn usable(limit: usize) -> usize {
        limit.saturating_sub(SLACK).max(LEAST_LIMIT)
    }

    /// Keeps to a smaller limit from now on; slots above it are emptied into others.
    pub fn reduce_limit(&mut self, limit: usize) {
        self.limit = self.limit.min(PackedRecords::<T>::usable(limit));
        self.empty_oversized();
    }

    fn size(id: &str, item: &T) -> usize {
        // Counted at its longest: numbers may grow by some digits without moving.
        serde_json::to_string(item).map_or(0, |s| s.len()) + id.len() + 16
    }

    /// Sets a record. Its slot is to be written.
    pub fn put(&mut self, id: &Arc<str>, item: T) {
        let size = PackedRecords::size(id, &item);
        let at = match self.of.get(id) {
            Some(&at) => at,
            None => self.place(id, size),
        };
        let s = &mut self.slots[at];
        if let Some(replaced) = s.items.insert(id.clone(), item) {
            // Counted anew: a slot whose records grow would otherwise seem to have ever more room, and
            // outgrow the limit of a value.
            s.bytes = s.bytes.saturating_sub(PackedRecords::size(id, &replaced)) + size;
        }
        s.version += 1;
        s.urgent = s.version;
    }

    /// Finds a slot for a new record of a size.
    fn place(&mut self, id: &Arc<str>, size: usize) -> usize {
        let limit = self.limit;
        let room = |s: &Slot<T>| s.bytes + size <= limit && s.after.is_empty() && !s.unreadable;
        // A slot that is to be written anyway takes it at no further cost.
        let open = self.slots.iter().position(|s| s.urgent > s.written && room(s));
        let at = open.or_else(|| self.slots.iter().position(room)).unwrap_or_else(|| {
            self.slots.push(Slot::default());
            self.slots.len() - 1
        });
        self.of.insert(id.clone(), at);
        self.slots[at].bytes += size;
        at
    }

    /// Takes a record out; its slot is rewritten when there is time.
    pub fn remove(&mut self, id: &str) {
        let Some(at) = self.of.remove(id) else { return };
        let s = &mut self.slots[at];
        if let Some(item) = s.items.remove(id) {
            s.bytes = s.bytes.saturating_sub(PackedRecords::size(id, &item)).max(2);
            s.version += 1;
        }
    }

    /// A record as it will be written.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.of.get(id).and_then(|&at| self.slots[at].items.get(id))
    }

    fn slot_mut(&mut self, slot: u32) -> Option<&mut Slot<T>> {
        if slot > MOST_SLOTS {
            return None;
        }
        let slot = slot as usize;
        while self.slots.len() <= slot {
            self.slots.push(Slot::default());
        }
        self.slots.get_mut(slot)
    }

    /// Takes a slot over from its value. An earlier owner may have ended between the two writes that
    /// move a record: `newer` then chooses between the two copies. [`PackedRecords::empty_oversized`] follows
    /// when all slots are loaded.
    pub fn load(&mut self, slot: u32, mod_revision: u64, items: SlotRecords<T>, newer: fn(T, T) -> T) {
        let Some(s) = self.slot_mut(slot) else { return };
        s.mod_revision = mod_revision;
        let slot = slot as usize;
        for (id, stored) in items {
            let earlier = self.of.insert(id.clone(), slot).filter(|&other| other != slot);
            let copy = earlier.and_then(|other| self.slots[other].items.remove(&id));
            let item = match copy.clone() {
                Some(copy) => newer(copy, stored.clone()),
                None => stored.clone(),
            };
            let s = &mut self.slots[slot];
            s.bytes += PackedRecords::size(&id, &item);
            s.version += u64::from(item != stored);
            s.items.insert(id.clone(), item);
            let version = s.version;
            if let (Some(other), Some(copy)) = (earlier, copy) {
                let o = &mut self.slots[other];
                o.bytes = o.bytes.saturating_sub(PackedRecords::size(&id, &copy)).max(2);
                o.version += 1;
                o.after.push((slot, version));
            }
        }
    }

    /// Marks a slot whose value cannot be read: it is never written.
    pub fn keep_unreadable(&mut self, slot: u32) {
        if let Some(s) = self.slot_mut(slot) {
            s.unreadable = true;
        }
    }

    /// Moves the records of slots above the limit to others.
    pub fn empty_oversized(&mut self) {
        let limit = self.limit;
        for from in 0..self.slots.len() {
            if self.slots[from].bytes <= limit {
                continue;
            }
            let s = &mut self.slots[from];
            let items = std::mem::take(&mut s.items);
            s.bytes = 2;
            s.version += 1;
            // No record is placed back here before the slot is rewritten.
            s.after.push((from, 0));
            for (id, item) in items {
                let to = self.place(&id, PackedRecords::size(&id, &item));
                let target = &mut self.slots[to];
                target.items.insert(id, item);
                target.version += 1;
                let moved = (to, target.version);
                self.slots[from].after.push(moved);
            }
        }
    }

    /// Whether what has to be written before a slot is.
    fn ready(&self, s: &Slot<T>) -> bool {
        !s.unreadable && s.after.iter().all(|&(slot, version)| self.slots[slot].written >= version)
    }

    /// Slots to be written: those that something waits for, or the others.
    pub fn pending(&self, urgent: bool) -> impl Iterator<Item = u32> + '_ {
        self.slots.iter().enumerate().filter_map(move |(i, s)| {
            let waits = s.urgent > s.written;
            (s.version > s.written && waits == urgent && self.ready(s)).then_some(i as u32)
        })
    }

    /// A slot's version in the state service, the count of its changes and what it holds.
    pub fn slot(&self, slot: u32) -> Option<(u64, u64, &SlotRecords<T>)> {
        self.slots.get(slot as usize).map(|s| (s.mod_revision, s.version, &s.items))
    }

    /// A slot has been written at a revision, as it stood at `version`.
    pub fn written(&mut self, slot: u32, version: u64, revision: u64) {
        if let Some(s) = self.slots.get_mut(slot as usize) {
            s.mod_revision = s.mod_revision.max(revision);
            s.written = s.written.max(version);
            s.after.clear();
        }
    }

    /// A slot as read back. Only this owner's own earlier writes can have changed it, so what is
    /// here is newer; with the right version it can be written.
    pub fn set_mod_revision(&mut self, slot: u32, mod_revision: u64) {
        if let Some(s) = self.slots.get_mut(slot as usize) {
            s.mod_revision = mod_revision;
        }
    }
}
