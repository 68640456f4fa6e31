//! Sets of task numbers, as compressed bitmaps.

use std::fmt;

use roaring::RoaringBitmap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// No job has more tasks than this.
pub const MAX_TASKS: u32 = 100_000;

/// A set of task numbers that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskSetError {
    /// The text is not a list of numbers and ranges.
    #[error("`{0}` is no number or range of tasks")]
    Malformed(String),
    /// A number that no task can have.
    #[error("task number {0} is too large")]
    TooLarge(u32),
    /// The bytes are no bitmap.
    #[error("not a bitmap: {0}")]
    NotABitmap(String),
}

/// A set of task numbers of one job. In records it is a compact text (`0-4,7`), in messages the bytes of
/// a compressed bitmap.
#[derive(Clone, Default, PartialEq)]
pub struct TaskSet(RoaringBitmap);

impl TaskSet {
    /// The empty set.
    pub fn new() -> TaskSet {
        TaskSet::default()
    }

    /// All numbers from `first` up to but not including `end`.
    pub fn span(first: u32, end: u32) -> TaskSet {
        let mut tasks = RoaringBitmap::new();
        tasks.insert_range(first..end);
        TaskSet(tasks)
    }

    /// Adds a task; false if it was there.
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }

    /// Whether the set holds a task.
    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(task)
    }

    /// How many tasks the set holds.
    pub fn len(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The tasks, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// The greatest task number.
    pub fn max(&self) -> Option<u32> {
        self.0.max()
    }

    /// What is in either.
    pub fn union(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 | &other.0)
    }

    /// What is in both.
    pub fn intersection(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 & &other.0)
    }

    /// What is in this one but not in the other.
    pub fn difference(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 - &other.0)
    }

    /// Whether all of it is in the other.
    pub fn is_subset(&self, other: &TaskSet) -> bool {
        self.0.is_subset(&other.0)
    }

    /// Whether nothing is in both.
    pub fn is_disjoint(&self, other: &TaskSet) -> bool {
        self.0.is_disjoint(&other.0)
    }

    /// The bytes of the compressed bitmap.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.0.serialized_size());
        // Writing to memory does not fail.
        let _ = self.0.serialize_into(&mut bytes);
        bytes
    }

    /// A set from its bytes; a number that no task can have is refused.
    pub fn from_bytes(bytes: &[u8]) -> Result<TaskSet, TaskSetError> {
        let tasks =
            RoaringBitmap::deserialize_from(bytes).map_err(|e| TaskSetError::NotABitmap(e.to_string()))?;
        match tasks.max() {
            Some(task) if task >= MAX_TASKS => Err(TaskSetError::TooLarge(task)),
            _ => Ok(TaskSet(tasks)),
        }
    }

    /// A set from its compact text.
    pub fn parse(text: &str) -> Result<TaskSet, TaskSetError> {
        let mut tasks = RoaringBitmap::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let number = |digits: &str| digits.parse().map_err(|_| TaskSetError::Malformed(part.into()));
            let (first, last): (u32, u32) = (number(first)?, number(last)?);
            if first > last {
                return Err(TaskSetError::Malformed(part.into()));
            }
            if last >= MAX_TASKS {
                return Err(TaskSetError::TooLarge(last));
            }
            tasks.insert_range(first..=last);
        }
        Ok(TaskSet(tasks))
    }
}

impl FromIterator<u32> for TaskSet {
    fn from_iter<I: IntoIterator<Item = u32>>(tasks: I) -> TaskSet {
        TaskSet(tasks.into_iter().collect())
    }
}

impl fmt::Display for TaskSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut numbers = self.0.iter().peekable();
        let mut separator = "";
        while let Some(first) = numbers.next() {
            let mut last = first;
            while let Some(next) = numbers.next_if(|next| *next == last + 1) {
                last = next;
            }
            if first == last {
                write!(f, "{separator}{first}")?;
            } else {
                write!(f, "{separator}{first}-{last}")?;
            }
            separator = ",";
        }
        Ok(())
    }
}

impl fmt::Debug for TaskSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{{self}}}")
    }
}

impl Serialize for TaskSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TaskSet, D::Error> {
        let text = String::deserialize(deserializer)?;
        TaskSet::parse(&text).map_err(serde::de::Error::custom)
    }
}
