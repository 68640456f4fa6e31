//! Sets of task numbers as ranges, and the chunks into which the done ranges of a job are divided for
//! storage.

use std::ops::Range;

use milletlock_cells::TaskSet;

/// The task numbers from `start` up to but not including `end`; never empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskRange {
    start: u32,
    end: u32,
}

impl TaskRange {
    fn len(self) -> u32 {
        self.end - self.start
    }

    /// The text form of the range: `7` for one number, `0-4` for several, with both ends included.
    fn to_text(self) -> String {
        if self.len() == 1 {
            self.start.to_string()
        } else {
            format!("{}-{}", self.start, self.end - 1)
        }
    }
}

/// A part of the text form of a set that is not a range of the job's task numbers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{part}` is not a range of task numbers below {limit}")]
pub struct TaskRangeError {
    /// The invalid part of the text.
    part: String,
    /// Number of tasks of the job.
    limit: u32,
}

/// A set of task numbers as sorted, disjoint, non-adjacent half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskRanges(Vec<TaskRange>);

impl TaskRanges {
    /// Creates the empty set.
    pub fn new() -> TaskRanges {
        TaskRanges(Vec::new())
    }

    /// Creates the set of all numbers from `start` up to but not including `end`.
    pub fn span(start: u32, end: u32) -> TaskRanges {
        TaskRanges(if start < end { vec![TaskRange { start, end }] } else { Vec::new() })
    }

    /// Whether the set contains `task`.
    pub fn contains(&self, task: u32) -> bool {
        let index = self.0.partition_point(|range| range.end <= task);
        self.0.get(index).is_some_and(|range| range.start <= task)
    }

    /// Adds `task`; returns false if the set contained it already.
    pub fn insert(&mut self, task: u32) -> bool {
        // The first range that contains the task, ends directly before it or begins after it.
        let index = self.0.partition_point(|range| range.end < task);
        match self.0.get(index).copied() {
            Some(range) if range.start <= task && task < range.end => return false,
            Some(range) if range.end == task => self.extend_up(index),
            Some(range) if range.start == task + 1 => self.0[index].start = task,
            _ => self.0.insert(index, TaskRange { start: task, end: task + 1 }),
        }
        true
    }

    /// Extends a range by the number that follows it, and merges it with the next range if the two are then
    /// adjacent.
    fn extend_up(&mut self, index: usize) {
        let end = self.0[index].end + 1;
        match self.0.get(index + 1).copied() {
            Some(next) if next.start == end => {
                self.0[index].end = next.end;
                self.0.remove(index + 1);
            }
            _ => self.0[index].end = end,
        }
    }

    /// Removes `task`; returns false if the set did not contain it.
    pub fn remove(&mut self, task: u32) -> bool {
        let index = self.0.partition_point(|range| range.end <= task);
        let Some(range) = self.0.get(index).copied().filter(|range| range.start <= task) else {
            return false;
        };
        let (is_first, is_last) = (range.start == task, range.end == task + 1);
        match (is_first, is_last) {
            (true, true) => {
                self.0.remove(index);
            }
            (true, false) => self.0[index].start = task + 1,
            (false, true) => self.0[index].end = task,
            (false, false) => {
                self.0[index].end = task;
                self.0.insert(index + 1, TaskRange { start: task + 1, end: range.end });
            }
        }
        true
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|range| range.len()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|range| range.start..range.end)
    }

    /// Number of tasks in the set with numbers of at least `first`.
    pub fn count_from(&self, first: u32) -> u32 {
        self.0.iter().map(|range| range.end.saturating_sub(range.start.max(first))).sum()
    }

    /// Returns the subset of the numbers from `start` up to but not including `end`.
    pub fn within(&self, start: u32, end: u32) -> TaskRanges {
        let clip = |range: &TaskRange| TaskRange { start: range.start.max(start), end: range.end.min(end) };
        TaskRanges(self.0.iter().map(clip).filter(|range| range.start < range.end).collect())
    }

    /// Converts the set to a compressed bitmap.
    pub fn task_set(&self) -> TaskSet {
        self.iter().collect()
    }

    /// The text form in which done ranges are stored, for example `0-4,7`, with both ends of a range
    /// included.
    pub fn text(&self) -> String {
        self.0.iter().map(|range| range.to_text()).collect::<Vec<_>>().join(",")
    }

    /// Parses the text form of a set.
    ///
    /// # Errors
    /// If a part of the text is not a range, or contains a number that is not below `limit`.
    pub fn parse(text: &str, limit: u32) -> Result<TaskRanges, TaskRangeError> {
        let mut ranges = TaskRanges::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            match (first.parse::<u32>(), last.parse::<u32>()) {
                (Ok(first), Ok(last)) if first <= last && last < limit => {
                    (first..=last).for_each(|task| {
                        ranges.insert(task);
                    });
                }
                _ => return Err(TaskRangeError { part: part.to_string(), limit }),
            }
        }
        Ok(ranges)
    }

    /// Adds the numbers of the text form of a set. Numbers that are not below `limit` and parts that are not
    /// a range are ignored.
    pub fn add_text(&mut self, text: &str, limit: u32) {
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(first), Ok(last)) = (first.parse::<u32>(), last.parse::<u32>()) {
                for task in first..=last.min(limit.saturating_sub(1)) {
                    self.insert(task);
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

/// Minimum number of tasks in a chunk of done ranges.
const MIN_CHUNK_TASKS: usize = 64;
/// Maximum number of tasks in a chunk of done ranges.
const MAX_CHUNK_TASKS: usize = 65_535;

/// Number of tasks in a chunk of done ranges, chosen so that the longest text of a chunk fits into a value of
/// `value_bytes` bytes. The text is longest if every second task is done: it then takes up to seven bytes for
/// two tasks.
pub fn chunk_tasks(value_bytes: usize) -> u32 {
    ((value_bytes / 4).saturating_sub(8)).clamp(MIN_CHUNK_TASKS, MAX_CHUNK_TASKS) as u32
}

/// Number of low bits of a chunk number that contain the chunk's index among the job's chunks.
const CHUNK_INDEX_BITS: u32 = 12;

/// Number of a chunk of done ranges. It combines the number of tasks per chunk with the chunk's index.
/// Earlier versions used the index alone. Two leaders with different limits of a value would then write
/// different tasks under the same key, and each would delete tasks that the other had written. Chunks of
/// earlier versions are read like all others but never rewritten, because the numbers made here are all
/// larger.
pub fn chunk_number(tasks_per_chunk: u32, index: u32) -> u32 {
    (tasks_per_chunk << CHUNK_INDEX_BITS) | index
}

/// The task numbers of the chunk with this number.
pub fn chunk_span(number: u32) -> Range<u32> {
    let tasks_per_chunk = number >> CHUNK_INDEX_BITS;
    let index = number & ((1 << CHUNK_INDEX_BITS) - 1);
    index * tasks_per_chunk..(index + 1) * tasks_per_chunk
}
