//! Run-time history of finished jobs, and A, the factor between stated and adjusted run times
//! (section 4.2.3 of the paper): the 85th percentile of past actual-to-stated ratios, each capped at 1,
//! and never under one half. No I/O: finished jobs go in, factors and the records to store come out;
//! the caller does the reads and compare-and-swap writes of the state store.
//!
//! Keys are packed into `BUCKETS` stored values by a hash that must stay the same between versions,
//! since it names the stored value.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::time::{Micros, Wall};

/// The lower bound of A: estimates are never scaled below half.
pub const MIN_FACTOR: f64 = 0.5;
/// The percentile of past ratios that A is.
pub const PERCENTILE: f64 = 0.85;
/// With fewer finished jobs than this within `WINDOW`, A is 1 and the stated time stands.
pub const MIN_FINISHED_JOBS: usize = 10;
/// How far back finished jobs count: 30 days.
pub const WINDOW: Micros = Micros(30 * 86_400 * 1_000_000);
/// The largest ratio stored: a job that ran far over its estimate says little more beyond this.
const MAX_RATIO: f64 = 100.0;
/// Ratios are stored rounded to this many parts of one (four decimals), to keep records small.
const RATIO_PARTS: f64 = 1e4;
/// Offset basis of 32-bit FNV-1a.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// Prime of 32-bit FNV-1a.
const FNV_PRIME: u32 = 0x0100_0193;
/// Microseconds in a second, for the end times that records keep in seconds.
const MICROS_PER_SECOND: i64 = 1_000_000;

/// What finished jobs must share to inform each other's A: team and stated run time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EstimateKey {
    /// The team.
    pub team: String,
    /// The stated run time (the user's estimate).
    pub stated: Micros,
}

/// How many stored values the history is packed into.
pub const BUCKETS: u32 = 32;
/// Most keys kept in memory; the keys whose latest job ended longest ago go first.
const MAX_KEYS: usize = 4096;

impl EstimateKey {
    /// The stored value, in `0..BUCKETS`, that the key is packed into (FNV-1a over the team's bytes
    /// and the stated micros in little-endian: it must not change between versions).
    pub fn bucket(&self) -> u32 {
        let bytes = self.team.bytes().chain(self.stated.0.to_le_bytes());
        let hash =
            bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        hash % BUCKETS
    }
}

/// One finished job, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// When it ended, in seconds of wall-clock time.
    pub end_s: i64,
    /// Actual over stated run time, at most `MAX_RATIO`, rounded to four decimals.
    pub ratio: f64,
}

/// What is stored for a key; a stored value is a list of these. The form is stored data and must
/// stay readable by earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The team.
    pub team: String,
    /// The stated run time in microseconds.
    pub stated_us: i64,
    /// The latest finished jobs, oldest first.
    pub past: Vec<FinishedJob>,
}

/// The factor A of one key, with the number of finished jobs behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdjustmentFactor {
    /// Team and stated run time that it applies to.
    pub key: EstimateKey,
    /// A, from `MIN_FACTOR` to 1.
    pub factor: f64,
    /// Finished jobs kept for the key, within `WINDOW` or not.
    pub jobs: usize,
}

/// Finished jobs by key, a bounded number for each, and which of them are still to be stored.
#[derive(Debug)]
pub struct History {
    /// Most finished jobs kept for each key.
    jobs_per_key: usize,
    /// By key: its latest finished jobs, oldest first.
    jobs: BTreeMap<EstimateKey, Vec<FinishedJob>>,
    /// Buckets changed since they were last written.
    dirty: BTreeSet<u32>,
    /// By bucket: the state store's revision of it, for compare-and-swap writes.
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

    /// Loads a key from its stored record, dropping ratios that are negative or not finite and keeping
    /// the latest jobs.
    pub fn load(&mut self, record: HistoryRecord) {
        let mut jobs = record.past;
        jobs.retain(|job| job.ratio.is_finite() && job.ratio >= 0.0);
        let from = jobs.len().saturating_sub(self.jobs_per_key);
        let key = EstimateKey { team: record.team, stated: Micros(record.stated_us) };
        self.jobs.insert(key, jobs.split_off(from));
    }

    /// Adds a finished job with its actual-to-stated `ratio`; its key's bucket is to be written.
    pub fn add(&mut self, key: &EstimateKey, end: Wall, ratio: f64) {
        if self.jobs.len() >= MAX_KEYS && !self.jobs.contains_key(key) {
            self.remove_oldest_key();
        }
        let jobs = self.jobs.entry(key.clone()).or_default();
        let ratio = (ratio.clamp(0.0, MAX_RATIO) * RATIO_PARTS).round() / RATIO_PARTS;
        jobs.push(FinishedJob { end_s: end.0 / MICROS_PER_SECOND, ratio });
        if jobs.len() > self.jobs_per_key {
            jobs.remove(0);
        }
        self.dirty.insert(key.bucket());
    }

    /// Removes the key whose latest job ended longest ago.
    fn remove_oldest_key(&mut self) {
        let oldest = self.jobs.iter().min_by_key(|(_, jobs)| latest_end_s(jobs)).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.jobs.remove(&key);
        }
    }

    /// Notes that a bucket's stored value cannot be read: it is never written.
    pub fn mark_unreadable(&mut self, bucket: u32) {
        self.unreadable.insert(bucket);
    }

    /// Buckets to write: they have changed since they were last written.
    pub fn dirty_buckets(&self) -> impl Iterator<Item = u32> + '_ {
        self.dirty.difference(&self.unreadable).copied()
    }

    /// The state store's revision of a bucket; 0 if none is known.
    pub fn mod_revision(&self, bucket: u32) -> u64 {
        self.revisions.get(&bucket).copied().unwrap_or(0)
    }

    /// Sets the revision at which a bucket was found or read back in the state store.
    pub fn set_mod_revision(&mut self, bucket: u32, mod_revision: u64) {
        self.revisions.insert(bucket, mod_revision);
    }

    /// Records that a bucket was written at a revision: it is clean again.
    pub fn mark_written(&mut self, bucket: u32, revision: u64) {
        self.revisions.insert(bucket, revision);
        self.dirty.remove(&bucket);
    }

    /// Loads a key from a record under a state-store key of its own, as earlier versions wrote it; its
    /// bucket is to be written in the present form.
    pub fn load_unpacked(&mut self, record: HistoryRecord) {
        let bucket = EstimateKey { team: record.team.clone(), stated: Micros(record.stated_us) }.bucket();
        self.load(record);
        self.dirty.insert(bucket);
    }

    /// The records to store for a bucket: the keys whose latest job ended last, no more than fit
    /// `bytes` bytes of JSON (one separator byte counted for each). Of a key that does not fit whole
    /// the latest jobs are written: with half the bytes to a value a full key would otherwise keep
    /// its whole value from being written.
    pub fn records_to_store(&self, bucket: u32, bytes: usize) -> Vec<HistoryRecord> {
        let mut latest_first: Vec<(&EstimateKey, &Vec<FinishedJob>)> =
            self.jobs.iter().filter(|(key, _)| key.bucket() == bucket).collect();
        latest_first.sort_by_key(|(_, jobs)| std::cmp::Reverse(latest_end_s(jobs)));
        let mut bytes_left = bytes;
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

    /// The factor A for a waiting job of the key at wall time `now`: 1 with fewer than `MIN_FINISHED_JOBS` jobs within
    /// `WINDOW`, else the `PERCENTILE` of their ratios capped at 1, floored at `MIN_FACTOR`.
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

    /// All keys with their factor A.
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

/// When the latest of a key's jobs ended, in seconds of wall-clock time; 0 without jobs.
fn latest_end_s(jobs: &[FinishedJob]) -> i64 {
    jobs.last().map_or(0, |job| job.end_s)
}

/// A key's record with as many of its latest jobs as fit `bytes_left`, which is reduced by its size.
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

/// Bytes of the JSON form; a form that fails counts as too large to fit anywhere.
fn json_size(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}
