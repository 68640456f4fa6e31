//! Run-time history of finished jobs, and the factor A by which stated run times are adjusted (section 4.2.3
//! of the paper that `sched` names). A is the 85th percentile of the ratios of actual to stated run times of
//! past jobs; each ratio counts as at most 1, and A is at least one half.
//!
//! This is pure code: the caller passes in finished jobs and stored records, and reads and writes the state
//! store (with compare-and-swap).
//!
//! All stored records are packed into `BUCKETS` values of the state store. A hash of the record's key selects
//! the value, so the hash function must not change between versions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::time::{Micros, Wall};

/// The lower bound of A: adjusted run times are at least half of the stated ones.
pub const MIN_FACTOR: f64 = 0.5;
/// The percentile of past ratios that is used as A, as a fraction.
pub const PERCENTILE: f64 = 0.85;
/// With fewer finished jobs than this within `WINDOW`, A is 1: the stated run time is used unchanged.
pub const MIN_FINISHED_JOBS: usize = 10;
/// Only jobs that finished within this time count: 30 days.
pub const WINDOW: Micros = Micros(30 * 86_400 * 1_000_000);
/// The largest ratio that is stored. How far beyond this a job overran its stated run time does not matter.
const MAX_RATIO: f64 = 100.0;
/// Ratios are stored rounded to multiples of one part in this many (four decimals), to keep records small.
const RATIO_SCALE: f64 = 1e4;
/// Offset basis of 32-bit FNV-1a.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// Prime of 32-bit FNV-1a.
const FNV_PRIME: u32 = 0x0100_0193;
/// Microseconds in a second. Records store end times in seconds.
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The team and stated run time that a history belongs to. Only jobs that agree in both share a factor A.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EstimateKey {
    /// The team.
    pub team: String,
    /// The stated run time (the user's estimate).
    pub stated: Micros,
}

/// Number of values in the state store that the history is packed into.
pub const BUCKETS: u32 = 32;
/// The most keys kept in memory. Beyond that, the key whose latest job ended longest ago is removed.
const MAX_KEYS: usize = 4096;

impl EstimateKey {
    /// The number of the stored value that the key is packed into, in `0..BUCKETS`. It is the FNV-1a hash of
    /// the team's bytes followed by the stated run time in microseconds as little-endian bytes, and must not
    /// change between versions.
    pub fn bucket(&self) -> u32 {
        let bytes = self.team.bytes().chain(self.stated.0.to_le_bytes());
        let hash =
            bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        hash % BUCKETS
    }
}

/// A finished job, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// When the job ended, in seconds of wall-clock time.
    pub end_s: i64,
    /// Ratio of actual to stated run time, at most `MAX_RATIO`, rounded to four decimals.
    pub ratio: f64,
}

/// The stored record of a key. A stored value is a list of these records. Earlier versions must be able to
/// read this format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The team.
    pub team: String,
    /// The stated run time in microseconds.
    pub stated_us: i64,
    /// The latest finished jobs, oldest first.
    pub past: Vec<FinishedJob>,
}

/// The factor A of a key, and the number of finished jobs kept for the key.
#[derive(Clone, Debug, PartialEq)]
pub struct AdjustmentFactor {
    /// The team and stated run time that the factor applies to.
    pub key: EstimateKey,
    /// A, from `MIN_FACTOR` to 1.
    pub factor: f64,
    /// Number of finished jobs kept for the key, including those that ended longer than `WINDOW` ago.
    pub jobs: usize,
}

/// Finished jobs by key, a limited number for each, and which of them still have to be stored.
#[derive(Debug)]
pub struct History {
    /// The most finished jobs kept for each key.
    jobs_per_key: usize,
    /// By key: its latest finished jobs, oldest first.
    jobs: BTreeMap<EstimateKey, Vec<FinishedJob>>,
    /// Buckets that have changed since they were last written.
    dirty: BTreeSet<u32>,
    /// By bucket: the state store's revision of its value, for compare-and-swap writes.
    revisions: BTreeMap<u32, u64>,
    /// Buckets whose stored value cannot be read.
    unreadable: BTreeSet<u32>,
}

impl History {
    /// An empty history that keeps `jobs_per_key` jobs for each key.
    pub fn new(jobs_per_key: usize) -> History {
        History {
            jobs_per_key,
            jobs: BTreeMap::new(),
            dirty: BTreeSet::new(),
            revisions: BTreeMap::new(),
            unreadable: BTreeSet::new(),
        }
    }

    /// Loads a key from its stored record. Keeps only the latest jobs, and drops jobs whose ratio is negative
    /// or not finite.
    pub fn load(&mut self, record: HistoryRecord) {
        let mut jobs = record.past;
        jobs.retain(|job| job.ratio.is_finite() && job.ratio >= 0.0);
        let first_kept = jobs.len().saturating_sub(self.jobs_per_key);
        let key = EstimateKey { team: record.team, stated: Micros(record.stated_us) };
        self.jobs.insert(key, jobs.split_off(first_kept));
    }

    /// Adds a finished job with its ratio of actual to stated run time, and marks the key's bucket as
    /// changed.
    pub fn add(&mut self, key: &EstimateKey, end: Wall, ratio: f64) {
        if self.jobs.len() >= MAX_KEYS && !self.jobs.contains_key(key) {
            self.remove_least_recent_key();
        }
        let jobs = self.jobs.entry(key.clone()).or_default();
        let ratio = (ratio.clamp(0.0, MAX_RATIO) * RATIO_SCALE).round() / RATIO_SCALE;
        jobs.push(FinishedJob { end_s: end.0 / MICROS_PER_SECOND, ratio });
        if jobs.len() > self.jobs_per_key {
            jobs.remove(0);
        }
        self.dirty.insert(key.bucket());
    }

    /// Removes the key whose latest job ended longest ago.
    fn remove_least_recent_key(&mut self) {
        let least_recent =
            self.jobs.iter().min_by_key(|(_, jobs)| latest_end_s(jobs)).map(|(key, _)| key.clone());
        if let Some(key) = least_recent {
            self.jobs.remove(&key);
        }
    }

    /// Marks a bucket as unreadable, since its stored value cannot be read. Such a bucket is never written, so
    /// that the value is not overwritten.
    pub fn mark_unreadable(&mut self, bucket: u32) {
        self.unreadable.insert(bucket);
    }

    /// The buckets to write: those that have changed since they were last written, except unreadable ones.
    pub fn dirty_buckets(&self) -> impl Iterator<Item = u32> + '_ {
        self.dirty.difference(&self.unreadable).copied()
    }

    /// The state store's revision of a bucket; 0 if none is known.
    pub fn mod_revision(&self, bucket: u32) -> u64 {
        self.revisions.get(&bucket).copied().unwrap_or(0)
    }

    /// Sets the revision of a bucket after it was read from the state store.
    pub fn set_mod_revision(&mut self, bucket: u32, mod_revision: u64) {
        self.revisions.insert(bucket, mod_revision);
    }

    /// Records that a bucket was written at a revision; it no longer counts as changed.
    pub fn mark_written(&mut self, bucket: u32, revision: u64) {
        self.revisions.insert(bucket, revision);
        self.dirty.remove(&bucket);
    }

    /// Loads a key from a record that an earlier version stored under its own key of the state store, and
    /// marks the key's bucket as changed, so that it is written in the present format.
    pub fn load_unpacked(&mut self, record: HistoryRecord) {
        let bucket = EstimateKey { team: record.team.clone(), stated: Micros(record.stated_us) }.bucket();
        self.load(record);
        self.dirty.insert(bucket);
    }

    /// The records to store for a bucket, in at most `max_bytes` bytes of JSON (one separator byte is counted
    /// for each record). The keys whose latest job ended last come first, and keys that do not fit are left
    /// out. Of a key that does not fit completely, only the latest jobs are included. Otherwise, when the
    /// size limit of a value is halved, a single key with many jobs would keep its whole bucket from being
    /// written.
    pub fn records_to_store(&self, bucket: u32, max_bytes: usize) -> Vec<HistoryRecord> {
        let mut latest_first: Vec<(&EstimateKey, &Vec<FinishedJob>)> =
            self.jobs.iter().filter(|(key, _)| key.bucket() == bucket).collect();
        latest_first.sort_by_key(|(_, jobs)| std::cmp::Reverse(latest_end_s(jobs)));
        let mut bytes_left = max_bytes;
        let mut records = Vec::new();
        for (key, jobs) in latest_first {
            let record = record_within(key, jobs, &mut bytes_left);
            if record.past.is_empty() {
                break;
            }
            records.push(record);
        }
        records
    }

    /// The factor A for a waiting job of the key at the wall-clock time `now`. It is 1 with fewer than
    /// `MIN_FINISHED_JOBS` jobs within `WINDOW`; otherwise it is the `PERCENTILE` of their ratios, each
    /// capped at 1, but not less than `MIN_FACTOR`.
    pub fn factor(&self, key: &EstimateKey, now: Wall) -> f64 {
        let Some(jobs) = self.jobs.get(key) else { return 1.0 };
        let window_start_s = (now - WINDOW).0 / MICROS_PER_SECOND;
        let in_window = jobs.iter().filter(|job| job.end_s >= window_start_s);
        let mut ratios: Vec<f64> = in_window.map(|job| job.ratio.min(1.0)).collect();
        if ratios.len() < MIN_FINISHED_JOBS {
            return 1.0;
        }
        ratios.sort_by(f64::total_cmp);
        let rank = (PERCENTILE * ratios.len() as f64).ceil() as usize;
        ratios[rank.clamp(1, ratios.len()) - 1].max(MIN_FACTOR)
    }

    /// The factors A of all keys.
    pub fn factors(&self, now: Wall) -> Vec<AdjustmentFactor> {
        let keys = self.jobs.iter();
        keys.map(|(key, jobs)| AdjustmentFactor {
            key: key.clone(),
            factor: self.factor(key, now),
            jobs: jobs.len(),
        })
        .collect()
    }
}

/// When the latest of a key's jobs ended, in seconds of wall-clock time; 0 if there are no jobs.
fn latest_end_s(jobs: &[FinishedJob]) -> i64 {
    jobs.last().map_or(0, |job| job.end_s)
}

/// The record of a key with as many of its latest jobs as fit into `bytes_left`, which is reduced by the
/// record's size.
fn record_within(key: &EstimateKey, jobs: &[FinishedJob], bytes_left: &mut usize) -> HistoryRecord {
    let mut record = HistoryRecord { team: key.team.clone(), stated_us: key.stated.0, past: Vec::new() };
    *bytes_left = bytes_left.saturating_sub(json_size(&record) + 1);
    for job in jobs.iter().rev() {
        let size = json_size(job) + 1;
        if size > *bytes_left {
            break;
        }
        *bytes_left -= size;
        record.past.insert(0, *job);
    }
    record
}

/// Size of the JSON form in bytes. A value that cannot be serialized counts as too large to fit.
fn json_size(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}
