//! The built-in lending policy: when a cell lends tasks, and how many.

/// The maximum number of tasks in one loan. The bound limits the tasks that are unavailable while a borrower
/// is lost, and ensures that a loan's record fits into a value of the state store.
pub const MAX_TASKS_PER_LOAN: u32 = 200;

/// The largest backlog of its own arrays, in seconds, with which a borrower receives loans.
const BUSY_BORROWER_BACKLOG_S: f64 = 1.0;

/// Lending starts when the backlog exceeds the drain time, and ends when it falls to this fraction of the
/// drain time.
const LENDING_END_FRACTION: f64 = 0.5;

/// The minimum number of processors that a task counts as. It prevents a division by zero for tasks that
/// request no processors.
const MIN_TASK_CPUS: f64 = 0.001;

/// Decides whether a cell's backlog is large enough to lend tasks. The threshold has hysteresis, because a
/// cell near the limit would otherwise lend and recall the same tasks repeatedly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogThreshold {
    exceeded: bool,
}

impl BacklogThreshold {
    /// Updates the threshold with the current backlog and the drain time, both in seconds of work for all
    /// machines of the cell. Returns whether the cell lends.
    pub fn update(&mut self, backlog_s: f64, drain_s: f64) -> bool {
        let limit_s = if self.exceeded { drain_s * LENDING_END_FRACTION } else { drain_s };
        self.exceeded = backlog_s > limit_s;
        self.exceeded
    }

    /// Whether the cell lends, according to the last update.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded
    }
}

/// The inputs of the decision on the number of tasks to lend.
#[derive(Clone, Debug, PartialEq)]
pub struct LendingInputs {
    /// The backlog of this cell's arrays, in seconds for which it keeps the cell's machines busy.
    pub backlog_s: f64,
    /// The time in seconds within which the backlog should drain.
    pub drain_s: f64,
    /// The number of tasks of the job that can be lent.
    pub lendable: u32,
    /// The number of processors that one task of the job requests.
    pub task_cpus: f64,
    /// The expected run time of one task of the job in seconds, as stated in the job's description.
    pub task_s: f64,
    /// The time in seconds for which the job has waited.
    pub waited_s: f64,
    /// The number of processors for which the borrower accepts tasks.
    pub borrower_spare_cpus: f64,
    /// The backlog of the borrower's own arrays, in seconds.
    pub borrower_backlog_s: f64,
}

impl LendingInputs {
    /// The number of tasks that the built-in policy lends. It is the share of the lendable tasks that equals
    /// the share of the backlog beyond half the drain time, limited by [`LendingInputs::bounded_task_count`].
    /// It is 0 if the borrower is busy itself.
    pub fn default_task_count(&self) -> u32 {
        if self.borrower_backlog_s > BUSY_BORROWER_BACKLOG_S || self.backlog_s <= 0.0 {
            return 0;
        }
        let surplus = 1.0 - (self.drain_s * LENDING_END_FRACTION / self.backlog_s).clamp(0.0, 1.0);
        let wanted = (f64::from(self.lendable) * surplus).ceil();
        self.bounded_task_count(wanted)
    }

    /// Limits a wanted number of tasks to the lendable tasks, the borrower's capacity and
    /// [`MAX_TASKS_PER_LOAN`]. Returns 0 for a number that is negative or not finite.
    pub fn bounded_task_count(&self, wanted: f64) -> u32 {
        if !wanted.is_finite() {
            return 0;
        }
        let capacity = self.borrower_spare_cpus / self.task_cpus.max(MIN_TASK_CPUS);
        let limit = capacity.min(f64::from(self.lendable.min(MAX_TASKS_PER_LOAN)));
        wanted.min(limit).max(0.0).floor() as u32
    }
}
