//! Sets of task numbers, stored as compressed bitmaps.

use std::fmt;
use std::ops::RangeInclusive;

use roaring::RoaringBitmap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The maximum number of tasks of a job. Every task number is below it.
pub const MAX_TASKS: u32 = 100_000;

/// The reasons for which a set of task numbers cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskSetError {
    /// A part of the text is neither a task number nor a range of task numbers.
    #[error("`{0}` is neither a task number nor a range of task numbers")]
    Malformed(String),
    /// A task number is not below [`MAX_TASKS`].
    #[error("task number {0} is too large")]
    TooLarge(u32),
    /// The bytes are not a serialized bitmap. The value is the decoder's message.
    #[error("not a bitmap: {0}")]
    NotABitmap(String),
}

/// A set of task numbers of one job. Records contain it as compact text (`0-4,7`), messages as the bytes of
/// a compressed bitmap in the portable Roaring format.
#[derive(Clone, Default, PartialEq)]
pub struct TaskSet(RoaringBitmap);

impl TaskSet {
    /// The empty set.
    pub fn new() -> TaskSet {
        TaskSet::default()
    }

    /// The set of all numbers from `first` up to but not including `end`.
    pub fn span(first: u32, end: u32) -> TaskSet {
        let mut tasks = RoaringBitmap::new();
        tasks.insert_range(first..end);
        TaskSet(tasks)
    }

    /// The union of any number of sets.
    pub fn union_of<'a>(sets: impl IntoIterator<Item = &'a TaskSet>) -> TaskSet {
        sets.into_iter().fold(TaskSet::new(), |all, tasks| all.union(tasks))
    }

    /// Adds a task. Returns whether it was not in the set before.
    pub fn insert(&mut self, task: u32) -> bool {
        self.0.insert(task)
    }

    /// Whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.0.contains(task)
    }

    /// The number of tasks in the set.
    pub fn len(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The tasks, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter()
    }

    /// The greatest task number, or `None` for the empty set.
    pub fn max(&self) -> Option<u32> {
        self.0.max()
    }

    /// The tasks that are in either set.
    pub fn union(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 | &other.0)
    }

    /// The tasks that are in both sets.
    pub fn intersection(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 & &other.0)
    }

    /// The tasks that are in this set but not in the other.
    pub fn difference(&self, other: &TaskSet) -> TaskSet {
        TaskSet(&self.0 - &other.0)
    }

    /// Whether all tasks of this set are in the other.
    pub fn is_subset(&self, other: &TaskSet) -> bool {
        self.0.is_subset(&other.0)
    }

    /// Whether no task is in both sets.
    pub fn is_disjoint(&self, other: &TaskSet) -> bool {
        self.0.is_disjoint(&other.0)
    }

    /// The set as a compressed bitmap in the portable Roaring format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.0.serialized_size());
        // Writing to memory does not fail.
        let _ = self.0.serialize_into(&mut bytes);
        bytes
    }

    /// Reads a set from a compressed bitmap in the portable Roaring format.
    ///
    /// # Errors
    /// If the bytes are not such a bitmap, or a number is not below [`MAX_TASKS`].
    pub fn from_bytes(bytes: &[u8]) -> Result<TaskSet, TaskSetError> {
        let tasks = RoaringBitmap::deserialize_from(bytes)
            .map_err(|error| TaskSetError::NotABitmap(error.to_string()))?;
        match tasks.max() {
            Some(task) if task >= MAX_TASKS => Err(TaskSetError::TooLarge(task)),
            _ => Ok(TaskSet(tasks)),
        }
    }

    /// Reads a set from its compact text, such as `0-4,7`. The empty text is the empty set.
    ///
    /// # Errors
    /// If the text is malformed, or a number is not below [`MAX_TASKS`].
    pub fn parse(text: &str) -> Result<TaskSet, TaskSetError> {
        let mut tasks = RoaringBitmap::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            tasks.insert_range(parse_range(part)?);
        }
        Ok(TaskSet(tasks))
    }
}

/// Reads one part of a compact text: a number, or a range that includes both ends.
fn parse_range(part: &str) -> Result<RangeInclusive<u32>, TaskSetError> {
    let (first, last) = part.split_once('-').unwrap_or((part, part));
    let parse_number = |digits: &str| digits.parse().map_err(|_| TaskSetError::Malformed(part.into()));
    let (first, last): (u32, u32) = (parse_number(first)?, parse_number(last)?);
    if first > last {
        return Err(TaskSetError::Malformed(part.into()));
    }
    if last >= MAX_TASKS {
        return Err(TaskSetError::TooLarge(last));
    }
    Ok(first..=last)
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
