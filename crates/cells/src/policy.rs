//! The built-in choice of what to lend.

/// Most tasks of one loan. Bounded, so that a guest that is lost holds few, and so that its record fits a
/// value of the state service.
pub const MAX_PORTION: u32 = 200;

/// A guest with more of its own work waiting than this is left alone, in seconds.
const BUSY_GUEST_BACKLOG_S: f64 = 1.0;

/// Lending begins above the drain time and ends below this part of it.
const END_SHARE: f64 = 0.5;

/// Says whether a cell's backlog is one to lend from, with hysteresis: a cell near the limit would
/// otherwise lend and recall the same tasks over and over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogGate {
    open: bool,
}

impl BacklogGate {
    /// Takes the present backlog, in seconds of work for all machines; whether to lend.
    pub fn update(&mut self, backlog_s: f64, drain_s: f64) -> bool {
        let limit_s = if self.open { drain_s * END_SHARE } else { drain_s };
        self.open = backlog_s > limit_s;
        self.open
    }

    /// Whether the cell lends.
    pub fn is_open(&self) -> bool {
        self.open
    }
}

/// What the choice of how much to lend rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct LendingView {
    /// Seconds for which this cell's array backlog keeps its machines busy.
    pub backlog_s: f64,
    /// Seconds within which the backlog should drain.
    pub drain_s: f64,
    /// Tasks of the job that could be lent.
    pub lendable: u32,
    /// Processors that one of them takes.
    pub task_cpus: f64,
    /// Seconds that one of them is stated to run.
    pub task_s: f64,
    /// Seconds that the job has waited.
    pub waited_s: f64,
    /// Processors' worth of tasks that the guest would take on.
    pub guest_spare_cpus: f64,
    /// Seconds of the guest's own backlog.
    pub guest_backlog_s: f64,
}

impl LendingView {
    /// The built-in choice of how many tasks to lend: as many as have room at the guest, but no more
    /// than the part of the backlog that is over half the drain time.
    pub fn portion(&self) -> u32 {
        if self.guest_backlog_s > BUSY_GUEST_BACKLOG_S || self.backlog_s <= 0.0 {
            return 0;
        }
        let surplus = 1.0 - (self.drain_s * END_SHARE / self.backlog_s).clamp(0.0, 1.0);
        let wanted = (f64::from(self.lendable) * surplus).ceil();
        self.bounded(wanted)
    }

    /// A number of tasks within what can be lent, has room, and makes one loan.
    pub fn bounded(&self, wanted: f64) -> u32 {
        let room = self.guest_spare_cpus / self.task_cpus.max(0.001);
        let most = room.min(f64::from(self.lendable.min(MAX_PORTION)));
        if wanted.is_finite() {
            wanted.min(most).max(0.0).floor() as u32
        } else {
            0
        }
    }
}
