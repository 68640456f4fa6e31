//! Waking workers: a worker reports at once when its list of tasks changes, and only an answer to a
//! report can carry a start. On machines that work which should start at once may use, one exited task
//! is therefore not forgotten at first; forgetting it by direct command, once a start waits for the
//! machine, makes the worker report. A lost or late command does no harm: the task has ended for good,
//! and the next answer forgets it.

use super::*;

/// A woken worker is not woken again for so long.
const WAKE_INTERVAL: Micros = Micros::from_millis(2_000);
/// A worker whose next report is due sooner than this is not woken.
const WORTH_WAKING: Micros = Micros::from_millis(700);
/// Until a woken worker reports.
pub(super) const WOKEN_WITHIN: Micros = Micros::from_millis(800);
/// Most workers woken at a time.
const MAX_WAKEUPS: usize = 32;
/// Reports come up to this share of the interval early.
const REPORT_JITTER: f64 = 0.25;

impl Fleet {
    /// Whether work that should start at once may use machines of a type, by the latest plan.
    pub(super) fn is_wakeful_type(&self, ty: usize) -> bool {
        self.wakeful_types.get(ty).copied().unwrap_or(false)
    }

    /// Learns from recent demand which types' machines are to be woken for starts.
    pub(super) fn learn_wakeful_types(&mut self) {
        let hasty = |ty: usize| self.demands.iter().any(|d| d.hasty && d.types.contains(&ty));
        self.wakeful_types = (0..self.types.len()).map(hasty).collect();
    }

    /// Commands that wake the workers for which starts wait and whose next report is not due soon.
    pub fn to_wake(&mut self, now: Steady) -> Vec<DirectCommand> {
        let interval = Micros::from_secs(self.cfg.platform.settings.workers.report_s);
        let earliest = interval.scale(1.0 - REPORT_JITTER);
        let waiting = self.promised.keys().chain(self.assigned.keys());
        let due: BTreeSet<MachineId> = waiting
            .filter(|id| self.start_waits(id))
            .filter(|id| {
                self.machines.get(*id).is_some_and(|m| {
                    let next_report = earliest - (now - m.report);
                    m.usable(now) && next_report > WORTH_WAKING && now - m.woken > WAKE_INTERVAL
                })
            })
            .cloned()
            .collect();
        let mut out = Vec::new();
        for id in due {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            let Some((job, n, attempt)) = m.retained.clone().filter(|_| !m.addr.is_empty()) else { continue };
            m.woken = now;
            out.push(m.direct_command(vec![Order::Forget { task: format!("{job}/{n}"), attempt }]));
            if out.len() == MAX_WAKEUPS {
                break;
            }
        }
        out
    }
}
