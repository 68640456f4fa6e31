//! The built-in policy: when a cell lends, and how many tasks.

/// Most tasks of one loan. Bounded, so that a borrower that is lost holds few, and so that the loan's
/// record fits a value of the state service.
pub const MAX_TASKS_PER_LOAN: u32 = 200;

/// A borrower with more of its own work waiting than this gets no loans, in seconds.
const BUSY_BORROWER_BACKLOG_S: f64 = 1.0;

/// Lending begins above the drain time and ends below this fraction of it.
const LENDING_END_FRACTION: f64 = 0.5;

/// Least processors that a task is taken to need, so that a task without any does not divide by zero.
const MIN_TASK_CPUS: f64 = 0.001;

/// Whether a cell's backlog is large enough to lend from. It has hysteresis: a cell near the limit
/// would otherwise lend and recall the same tasks over and over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogThreshold {
    exceeded: bool,
}

impl BacklogThreshold {
    /// Takes the present backlog and the drain time, both in seconds of work for all machines; returns
    /// whether to lend.
    pub fn update(&mut self, backlog_s: f64, drain_s: f64) -> bool {
        let limit_s = if self.exceeded { drain_s * LENDING_END_FRACTION } else { drain_s };
        self.exceeded = backlog_s > limit_s;
        self.exceeded
    }

    /// Whether the cell lends, as of the last update.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded
    }
}

/// The figures from which the size of a loan is decided.
#[derive(Clone, Debug, PartialEq)]
pub struct LendingInputs {
    /// Seconds for which this cell's array backlog keeps its machines busy.
    pub backlog_s: f64,
    /// Seconds within which the backlog should drain.
    pub drain_s: f64,
    /// Number of the job's tasks that could be lent.
    pub lendable: u32,
    /// Processors that one of them needs.
    pub task_cpus: f64,
    /// Seconds that one of them is stated to run.
    pub task_s: f64,
    /// Seconds that the job has waited.
    pub waited_s: f64,
    /// Processors' worth of tasks that the borrower would take on.
    pub borrower_spare_cpus: f64,
    /// Seconds of the borrower's own backlog.
    pub borrower_backlog_s: f64,
}

impl LendingInputs {
    /// The built-in choice of how many tasks to lend: as many as the borrower has capacity for, but no
    /// more than the part of the backlog that is over half the drain time.
    pub fn default_task_count(&self) -> u32 {
        if self.borrower_backlog_s > BUSY_BORROWER_BACKLOG_S || self.backlog_s <= 0.0 {
            return 0;
        }
        let surplus = 1.0 - (self.drain_s * LENDING_END_FRACTION / self.backlog_s).clamp(0.0, 1.0);
        let wanted = (f64::from(self.lendable) * surplus).ceil();
        self.bounded_task_count(wanted)
    }

    /// Reduces a wanted number of tasks to what can be lent, what the borrower has capacity for, and what
    /// fits one loan. A number that is not finite lends nothing.
    pub fn bounded_task_count(&self, wanted: f64) -> u32 {
        if !wanted.is_finite() {
            return 0;
        }
        let capacity = self.borrower_spare_cpus / self.task_cpus.max(MIN_TASK_CPUS);
        let most = capacity.min(f64::from(self.lendable.min(MAX_TASKS_PER_LOAN)));
        wanted.min(most).max(0.0).floor() as u32
    }
}
