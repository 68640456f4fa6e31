//! Many small records packed into few values, since the state service counts changes and not
//! bytes. Each value (a *slot*) is rewritten whole and guarded by its own version, so that a late
//! copy of an earlier write fails; see docs/safety.md.

use std::collections::BTreeMap;
use std::sync::Arc;

/// What a slot holds.
pub type Items<T> = BTreeMap<Arc<str>, T>;

/// Records by name in numbered slots, each within the limit of a value.
#[derive(Debug)]
pub struct Packs<T> {
    limit: usize,
    slots: Vec<Slot<T>>,
    of: BTreeMap<Arc<str>, usize>,
}

#[derive(Debug)]
struct Slot<T> {
    stamp: u64,
    bytes: usize,
    items: BTreeMap<Arc<str>, T>,
    /// Counts changes; what is written carries the count it was taken at.
    version: u64,
    written: u64,
    /// The last change that something waits for.
    urgent: u64,
}

impl<T> Default for Slot<T> {
    fn default() -> Self {
        Slot { stamp: 0, bytes: 2, items: BTreeMap::new(), version: 0, written: 0, urgent: 0 }
    }
}

impl<T: Clone + serde::Serialize> Packs<T> {
    /// Empty packs of values of at most `limit` bytes.
    pub fn new(limit: usize) -> Packs<T> {
        Packs { limit: limit.saturating_sub(64).max(256), slots: Vec::new(), of: BTreeMap::new() }
    }

    fn size(id: &str, item: &T) -> usize {
        // Counted at its longest: numbers may grow by some digits without moving.
        serde_json::to_string(item).map_or(0, |s| s.len()) + id.len() + 16
    }

    /// Sets a record. Its slot is to be written.
    pub fn put(&mut self, id: &Arc<str>, item: T) {
        let size = Packs::size(id, &item);
        let at = match self.of.get(id) {
            Some(&at) => at,
            None => {
                // A slot that is to be written anyway takes it at no further cost.
                let room = |s: &Slot<T>| s.bytes + size <= self.limit;
                let open = self.slots.iter().position(|s| s.urgent > s.written && room(s));
                let at = open.or_else(|| self.slots.iter().position(room)).unwrap_or_else(|| {
                    self.slots.push(Slot::default());
                    self.slots.len() - 1
                });
                self.of.insert(id.clone(), at);
                self.slots[at].bytes += size;
                at
            }
        };
        let s = &mut self.slots[at];
        s.items.insert(id.clone(), item);
        s.version += 1;
        s.urgent = s.version;
    }

    /// Takes a record out; its slot is rewritten when there is time.
    pub fn remove(&mut self, id: &str) {
        let Some(at) = self.of.remove(id) else { return };
        let s = &mut self.slots[at];
        if let Some(item) = s.items.remove(id) {
            s.bytes = s.bytes.saturating_sub(Packs::size(id, &item)).max(2);
            s.version += 1;
        }
    }

    /// A record as it will be written.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.of.get(id).and_then(|&at| self.slots[at].items.get(id))
    }

    /// Takes a slot over from its value.
    pub fn load(&mut self, slot: u32, stamp: u64, items: BTreeMap<Arc<str>, T>) {
        let slot = slot as usize;
        if slot > 100_000 {
            return;
        }
        while self.slots.len() <= slot {
            self.slots.push(Slot::default());
        }
        for (id, item) in items {
            self.of.insert(id.clone(), slot);
            self.slots[slot].bytes += Packs::size(&id, &item);
            self.slots[slot].items.insert(id, item);
        }
        self.slots[slot].stamp = stamp;
    }

    /// Slots to be written: those that something waits for, or the others.
    pub fn pending(&self, urgent: bool) -> impl Iterator<Item = u32> + '_ {
        self.slots.iter().enumerate().filter_map(move |(i, s)| {
            let waits = s.urgent > s.written;
            (s.version > s.written && waits == urgent).then_some(i as u32)
        })
    }

    /// A slot's version in the state service, the count of its changes and what it holds.
    pub fn slot(&self, slot: u32) -> Option<(u64, u64, &Items<T>)> {
        self.slots.get(slot as usize).map(|s| (s.stamp, s.version, &s.items))
    }

    /// A slot has been written at a revision, as it stood at `version`.
    pub fn written(&mut self, slot: u32, version: u64, revision: u64) {
        if let Some(s) = self.slots.get_mut(slot as usize) {
            s.stamp = s.stamp.max(revision);
            s.written = s.written.max(version);
        }
    }

    /// A slot as read back. Only this owner's own earlier writes can have changed it, so what is
    /// here is newer; with the right version it can be written.
    pub fn learn(&mut self, slot: u32, stamp: u64) {
        if let Some(s) = self.slots.get_mut(slot as usize) {
            s.stamp = stamp;
        }
    }
}
