//! Sets of task numbers as ranges, and the chunks in which done ranges are written.

use milletlock_cells::TaskSet;

/// A set of task numbers as sorted, disjoint, non-adjacent half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskRanges(Vec<(u32, u32)>);

impl TaskRanges {
    /// The empty set.
    pub fn new() -> TaskRanges {
        TaskRanges(Vec::new())
    }

    /// All numbers from `a` up to but not including `b`.
    pub fn span(a: u32, b: u32) -> TaskRanges {
        TaskRanges(if a < b { vec![(a, b)] } else { Vec::new() })
    }

    /// Whether the set holds `x`.
    pub fn contains(&self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= x);
        self.0.get(i).is_some_and(|r| r.0 <= x)
    }

    /// Adds `x`; false if it was there.
    pub fn insert(&mut self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < x);
        match self.0.get(i).copied() {
            Some((a, b)) if a <= x && x < b => false,
            Some((a, b)) if b == x => {
                match self.0.get(i + 1).copied() {
                    Some((c, d)) if c == x + 1 => {
                        self.0[i] = (a, d);
                        self.0.remove(i + 1);
                    }
                    _ => self.0[i] = (a, x + 1),
                }
                true
            }
            Some((a, b)) if a == x + 1 => {
                self.0[i] = (x, b);
                true
            }
            _ => {
                self.0.insert(i, (x, x + 1));
                true
            }
        }
    }

    /// Takes `x` out; false if it was not there.
    pub fn remove(&mut self, x: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= x);
        let Some((a, b)) = self.0.get(i).copied().filter(|r| r.0 <= x) else { return false };
        match (a == x, b == x + 1) {
            (true, true) => {
                self.0.remove(i);
            }
            (true, false) => self.0[i].0 = x + 1,
            (false, true) => self.0[i].1 = x,
            (false, false) => {
                self.0[i] = (a, x);
                self.0.insert(i + 1, (x + 1, b));
            }
        }
        true
    }

    /// How many numbers the set holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.0..r.1)
    }

    /// How many numbers are at least `x`.
    pub fn count_from(&self, x: u32) -> u32 {
        self.0.iter().map(|r| r.1.saturating_sub(r.0.max(x))).sum()
    }

    /// The part from `a` up to but not including `b`.
    pub fn within(&self, a: u32, b: u32) -> TaskRanges {
        TaskRanges(self.0.iter().map(|r| (r.0.max(a), r.1.min(b))).filter(|r| r.0 < r.1).collect())
    }

    /// The same numbers as a compressed bitmap.
    pub fn task_set(&self) -> TaskSet {
        self.iter().collect()
    }

    /// The compact text: `0-4,7`, inclusive.
    pub fn text(&self) -> String {
        let one = |&(a, b): &(u32, u32)| if b == a + 1 { a.to_string() } else { format!("{a}-{}", b - 1) };
        self.0.iter().map(one).collect::<Vec<_>>().join(",")
    }

    /// Adds the numbers of a compact text; numbers from `limit` on are left out.
    pub fn add_text(&mut self, text: &str, limit: u32) {
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(a), Ok(b)) = (a.parse::<u32>(), b.parse::<u32>()) {
                for x in a..=b.min(limit.saturating_sub(1)) {
                    self.insert(x);
                }
            }
        }
    }
}

impl FromIterator<u32> for TaskRanges {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> TaskRanges {
        let mut ranges = TaskRanges::new();
        for number in numbers {
            ranges.insert(number);
        }
        ranges
    }
}

/// Tasks in a chunk of done ranges, so that the longest text fits a value: ranges of one task
/// each, apart by one, take up to seven bytes for two tasks.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    ((value_bytes / 4).saturating_sub(8)).clamp(64, 65_535) as u32
}

/// Bits of a chunk's number that hold its index among the job's chunks.
const CHUNK_INDEX_BITS: u32 = 12;

/// Number of a chunk of done ranges. It carries the tasks in a chunk beside the index: with the index
/// alone, as earlier versions number chunks, two owners whose values are limited differently would
/// write different tasks under one key, and each would drop some that the other had written. Chunks
/// of earlier versions are read like any other and never rewritten: these numbers are all larger.
pub fn chunk_number(tasks_per_chunk: u32, index: u32) -> u32 {
    (tasks_per_chunk << CHUNK_INDEX_BITS) | index
}

/// The tasks of a numbered chunk: from the first up to but not including the second.
pub fn chunk_span(number: u32) -> (u32, u32) {
    let tasks = number >> CHUNK_INDEX_BITS;
    let index = number & ((1 << CHUNK_INDEX_BITS) - 1);
    (index * tasks, (index + 1) * tasks)
}
