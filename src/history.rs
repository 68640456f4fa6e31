//! A, the factor between stated and adjusted run times (section 4.2.3 of the paper): the 85th
//! percentile of past actual-to-stated ratios, each capped at 1, and never under one half.

use std::collections::BTreeMap;

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

impl Key {
    /// The key's name in the state service.
    pub fn path(&self) -> String {
        let mut s = String::from("hist/");
        for b in self.team.bytes().take(60) {
            if b.is_ascii_alphanumeric() || b == b'-' || b == b'_' {
                s.push(b as char);
            } else {
                s.push_str(&format!("%{b:02x}"));
            }
        }
        format!("{s}/{}", self.stated.0)
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
}

impl History {
    /// An empty history that keeps `most` jobs for each key.
    pub fn new(most: usize) -> History {
        History { most, past: BTreeMap::new() }
    }

    /// Takes a key over from its record.
    pub fn load(&mut self, r: Record) {
        let mut past = r.past;
        past.retain(|p| p.ratio.is_finite() && p.ratio >= 0.0);
        let from = past.len().saturating_sub(self.most);
        self.past.insert(Key { team: r.team, stated: Micros(r.stated_us) }, past.split_off(from));
    }

    /// Adds a finished job and returns the key's record.
    pub fn add(&mut self, key: &Key, end: Wall, ratio: f64) -> Record {
        let list = self.past.entry(key.clone()).or_default();
        let ratio = (ratio.clamp(0.0, 100.0) * 1e4).round() / 1e4;
        list.push(Past { end_s: end.0 / 1_000_000, ratio });
        if list.len() > self.most {
            list.remove(0);
        }
        Record { team: key.team.clone(), stated_us: key.stated.0, past: list.clone() }
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
