//! A, the factor between stated and adjusted run times (section 4.2.3 of the paper): the 85th
//! percentile of past actual-to-stated ratios, each capped at 1, and never under one half.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::time::{Micros, Wall};

/// The least that A may be.
pub const FLOOR: f64 = 0.5;
/// The percentile.
pub const PERCENTILE: f64 = 0.85;
/// Fewer past jobs than this and the stated time stands.
pub const FEWEST: usize = 10;
/// How far back jobs count.
pub const WINDOW: Micros = Micros(30 * 86_400 * 1_000_000);

/// What past jobs must share: team and stated run time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The team.
    pub team: String,
    /// The stated run time.
    pub stated: Micros,
}

/// How many values the history is packed into.
pub const BUCKETS: u32 = 32;
/// Most keys kept; those that ended longest ago go.
const MOST_KEYS: usize = 4096;

impl Key {
    /// The value that the key is packed into (FNV-1a: it must not change between versions).
    pub fn bucket(&self) -> u32 {
        let bytes = self.team.bytes().chain(self.stated.0.to_le_bytes());
        let hash = bytes.fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        hash % BUCKETS
    }
}

/// One finished job.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Past {
    /// When it ended, in seconds of the time of day.
    pub end_s: i64,
    /// Actual over stated run time.
    pub ratio: f64,
}

/// What is written for a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The team.
    pub team: String,
    /// The stated run time in microseconds.
    pub stated_us: i64,
    /// The latest jobs, oldest first.
    pub past: Vec<Past>,
}

/// Past jobs by key, a bounded number for each.
#[derive(Debug)]
pub struct History {
    most: usize,
    past: BTreeMap<Key, Vec<Past>>,
    dirty: BTreeSet<u32>,
    stamps: BTreeMap<u32, u64>,
}

impl History {
    /// An empty history that keeps `most` jobs for each key.
    pub fn new(most: usize) -> History {
        History { most, past: BTreeMap::new(), dirty: BTreeSet::new(), stamps: BTreeMap::new() }
    }

    /// Takes a key over from its record.
    pub fn load(&mut self, r: Record) {
        let mut past = r.past;
        past.retain(|p| p.ratio.is_finite() && p.ratio >= 0.0);
        let from = past.len().saturating_sub(self.most);
        self.past.insert(Key { team: r.team, stated: Micros(r.stated_us) }, past.split_off(from));
    }

    /// Adds a finished job; its key's value is to be written.
    pub fn add(&mut self, key: &Key, end: Wall, ratio: f64) {
        if self.past.len() >= MOST_KEYS && !self.past.contains_key(key) {
            let ended = |v: &Vec<Past>| v.last().map_or(0, |p| p.end_s);
            if let Some(old) = self.past.iter().min_by_key(|x| ended(x.1)).map(|x| x.0.clone()) {
                self.past.remove(&old);
            }
        }
        let list = self.past.entry(key.clone()).or_default();
        let ratio = (ratio.clamp(0.0, 100.0) * 1e4).round() / 1e4;
        list.push(Past { end_s: end.0 / 1_000_000, ratio });
        if list.len() > self.most {
            list.remove(0);
        }
        self.dirty.insert(key.bucket());
    }

    /// Values that have changed since they were written.
    pub fn dirty(&self) -> impl Iterator<Item = u32> + '_ {
        self.dirty.iter().copied()
    }

    /// The version of a value in the state service.
    pub fn stamp(&self, bucket: u32) -> u64 {
        self.stamps.get(&bucket).copied().unwrap_or(0)
    }

    /// A value was found, or read back, at a version.
    pub fn learn(&mut self, bucket: u32, stamp: u64) {
        self.stamps.insert(bucket, stamp);
    }

    /// A value was written at a revision.
    pub fn written(&mut self, bucket: u32, revision: u64) {
        self.stamps.insert(bucket, revision);
        self.dirty.remove(&bucket);
    }

    /// Takes a key over from a record of its own, as earlier versions wrote it.
    pub fn load_old(&mut self, r: Record) {
        let bucket = Key { team: r.team.clone(), stated: Micros(r.stated_us) }.bucket();
        self.load(r);
        self.dirty.insert(bucket);
    }

    /// What is written of a value: the keys that ended last, no more than fit the bytes. Of a key that
    /// does not fit whole the latest jobs are written: with half the bytes to a value a full key would
    /// otherwise keep its whole value from being written.
    pub fn value(&self, bucket: u32, bytes: usize) -> Vec<Record> {
        let mut all: Vec<(&Key, &Vec<Past>)> = self.past.iter().filter(|x| x.0.bucket() == bucket).collect();
        all.sort_by_key(|x| std::cmp::Reverse(x.1.last().map_or(0, |p| p.end_s)));
        let mut left = bytes;
        let mut out = Vec::new();
        for (key, past) in all {
            let mut record = Record { team: key.team.clone(), stated_us: key.stated.0, past: Vec::new() };
            left = left.saturating_sub(json_size(&record) + 1);
            for p in past.iter().rev() {
                let size = json_size(p) + 1;
                if size > left {
                    break;
                }
                left -= size;
                record.past.insert(0, *p);
            }
            if record.past.is_empty() {
                break;
            }
            out.push(record);
        }
        out
    }

    /// A for a waiting job.
    pub fn factor(&self, key: &Key, now: Wall) -> f64 {
        let Some(list) = self.past.get(key) else { return 1.0 };
        let oldest = (now - WINDOW).0 / 1_000_000;
        let mut r: Vec<f64> = list.iter().filter(|p| p.end_s >= oldest).map(|p| p.ratio.min(1.0)).collect();
        if r.len() < FEWEST {
            return 1.0;
        }
        r.sort_by(f64::total_cmp);
        let nth = (PERCENTILE * r.len() as f64).ceil() as usize;
        r[nth.clamp(1, r.len()) - 1].max(FLOOR)
    }

    /// All keys with their A and how many jobs it rests on.
    pub fn factors(&self, now: Wall) -> Vec<(Key, f64, usize)> {
        self.past.iter().map(|(k, v)| (k.clone(), self.factor(k, now), v.len())).collect()
    }
}

fn json_size(v: &impl Serialize) -> usize {
    serde_json::to_string(v).map_or(usize::MAX / 4, |s| s.len())
}
