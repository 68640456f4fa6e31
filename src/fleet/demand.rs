//! Demand by recent jobs, for the machines that are kept ready for the next ones.

use super::*;

/// How far back jobs count for what is kept.
pub(super) const RECENT: Micros = Micros(300_000_000);

/// No more jobs of a kind are expected once none has come in so many of their usual intervals. With fewer,
/// the chance gaps of a steady stream would count as its end; with more, machines wait in vain.
const MISSED_ARRIVALS: f64 = 4.0;

/// Machines for jobs that start before one boots are kept for at least so many seconds without such a job:
/// where they come every ten seconds, a chance gap of forty would have the whole pool returned.
const LEAST_WARM_LULL_S: f64 = 60.0;

/// Seconds over which recent jobs have come.
fn span_of<'a>(recent: impl Iterator<Item = &'a Demand>, now: Steady) -> f64 {
    let first = recent.map(|d| d.at).min().unwrap_or(now);
    (now - first).secs().clamp(60.0, RECENT.secs())
}

/// A recent job, for what large machines are kept for.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    pub(super) at: Steady,
    pub(super) need: Resources,
    pub(super) priority: Priority,
    pub(super) types: Vec<usize>,
    /// Task-seconds, by the stated time.
    pub(super) work: f64,
    /// Its class should start sooner than a machine boots and fetches.
    pub(super) starts_before_boot: bool,
    /// Machines that it takes at once, beyond the first: a gang's tasks.
    pub(super) extra_machines: u32,
    /// It has a deadline.
    pub(super) due: bool,
    /// It may use spot machines.
    pub(super) spot: bool,
}

impl Fleet {
    pub(super) fn demand(&mut self, s: &JobSpec, now: Steady) {
        let types = self.allowed_types(s);
        let slowest = types
            .iter()
            .filter_map(|&t| self.types.get(t))
            .map(|t| t.boot_s + s.image_gb / t.fetch_gb_per_s.max(0.001));
        let ready = slowest.fold(f64::INFINITY, f64::min);
        let aim = self.start_aim(s);
        let service = s.is_service();
        // A service has its room for as long as it runs; what has to be ready for the next one is the
        // room for the time that a new machine would take.
        let each = if service { ready.min(3600.0) } else { stated(s).secs().min(3600.0) };
        self.submitted_count += 1;
        self.demands.push(Demand {
            at: now,
            need: need_of(s),
            priority: s.priority,
            types,
            work: each * f64::from(s.tasks),
            starts_before_boot: service || aim.is_some_and(|a| a < ready),
            extra_machines: if s.is_gang() { s.tasks - 1 } else { 0 },
            due: s.deadline_s.is_some(),
            spot: s.spot,
        });
    }

    /// Seconds within which its class's aim has a job start, if there is such an aim.
    pub(super) fn start_aim(&self, s: &JobSpec) -> Option<f64> {
        let aims = &self.cfg.platform.settings.objectives;
        let of = aims.iter().filter(|o| o.kind == "wait" && Some(&o.class) == s.class.as_ref());
        of.map(|o| o.within_s).reduce(f64::min)
    }

    /// Recent jobs as they are written: only what large machines are kept for, the latest first,
    /// no more than fit the bytes.
    pub fn recent(&self, now: Steady, wall: Wall, bytes: usize) -> Vec<DemandRecord> {
        let name = |t: &usize| self.types.get(*t).map(|t| t.name.clone());
        let mut left = bytes;
        let kept = self.demands.iter().rev().filter(|d| d.starts_before_boot || d.priority > Priority::Idle);
        kept.map(|d| DemandRecord {
            submitted_us: (wall - (now - d.at)).0,
            need: (d.need.cpus, d.need.gpus, d.need.memory),
            priority: d.priority,
            types: d.types.iter().filter_map(name).collect(),
            task_seconds: d.work,
            starts_before_boot: d.starts_before_boot,
            extra_machines: d.extra_machines,
            has_deadline: d.due,
            spot: d.spot,
        })
        .take_while(|r| {
            let size = 200 + r.types.iter().map(|t| t.len() + 3).sum::<usize>();
            left = left.saturating_sub(size);
            left > 0
        })
        .collect()
    }

    /// Takes over the list of recent jobs. Those that are still live are in it twice only if they
    /// were loaded before; so it is loaded first.
    pub fn inherit_recent(&mut self, list: Vec<DemandRecord>, now: Steady, wall: Wall) {
        for r in list {
            let age = (wall - Wall(r.submitted_us)).max(Micros::ZERO);
            let index = |n: &String| self.types.iter().position(|t| t.name == *n);
            self.demands.push(Demand {
                at: now - age,
                need: Resources { cpus: r.need.0, gpus: r.need.1, memory: r.need.2 },
                priority: r.priority,
                types: r.types.iter().filter_map(index).collect(),
                work: r.task_seconds,
                starts_before_boot: r.starts_before_boot,
                extra_machines: r.extra_machines,
                due: r.has_deadline,
                spot: r.spot,
            });
        }
        self.demands.retain(|d| now - d.at < RECENT);
    }

    /// Whether more jobs like some recent ones are expected: not if none has come for much longer than
    /// usual, and for at least `least_lull_s`.
    pub(super) fn more_expected<'a, I>(&self, recent: impl Fn() -> I, least_lull_s: f64, now: Steady) -> bool
    where
        I: Iterator<Item = &'a Demand>,
    {
        let Some(last) = recent().map(|d| d.at).max() else { return false };
        let usual = span_of(recent(), now) / recent().count() as f64;
        (now - last).secs() <= (MISSED_ARRIVALS * usual).max(least_lull_s)
    }

    /// Seconds that the slowest type takes to boot. A machine that is given up for a shorter lull may have
    /// to be rented again.
    pub(super) fn slowest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// By type, how many machines stay though idle: those that recent jobs which start before a machine
    /// boots kept busy, with some to spare, since a new machine would come too late for the next.
    pub(super) fn warm(&self, now: Steady) -> Vec<WarmPool> {
        let early = || self.demands.iter().filter(|d| d.starts_before_boot);
        if !self.more_expected(early, LEAST_WARM_LULL_S, now) {
            return vec![WarmPool::default(); self.types.len()];
        }
        let span = span_of(early(), now);
        (0..self.types.len())
            .map(|ty| {
                let of = self.demands.iter().filter(|d| d.starts_before_boot && d.types.first() == Some(&ty));
                let (work, any, spot) = of.fold((0.0, false, false), |(w, _, spot), d| {
                    (w + d.work / f64::from(self.total(ty).fits(&d.need).max(1)), true, spot || d.spot)
                });
                if !any {
                    return WarmPool::default();
                }
                // Square-root staffing: the mean in use, and its spread beside it.
                let load = work / span;
                WarmPool { count: (load + load.sqrt()).round().max(1.0) as usize, spot }
            })
            .collect()
    }

    /// How many rooms of a large type low ranks leave clear: what the operators say, or as many
    /// as the widest gang of late that should start at once takes.
    pub(super) fn clear(&self) -> usize {
        let wide = self
            .demands
            .iter()
            .filter(|d| d.starts_before_boot && d.extra_machines > 0)
            .map(|d| d.extra_machines as usize + 1);
        wide.max().unwrap_or(0).max(self.cfg.operator.keep_clear)
    }

    /// By type: the largest recent demand of a higher rank that no smaller type takes.
    pub(super) fn keep(&self) -> Vec<Option<ReservedHeadroom>> {
        let size = |t: &MachineType| t.cpus + 8.0 * t.gpus;
        (0..self.types.len())
            .map(|ty| {
                self.demands
                    .iter()
                    .filter(|d| d.priority > Priority::Idle && d.types.contains(&ty))
                    .filter(|d| d.types.iter().all(|&o| size(&self.types[o]) >= size(&self.types[ty])))
                    .filter(|d| self.total(ty).fits(&d.need) == 1)
                    .max_by(|a, b| a.priority.cmp(&b.priority).then(a.need.cpus.total_cmp(&b.need.cpus)))
                    .map(|d| ReservedHeadroom { need: d.need, priority: d.priority, spot: d.spot })
            })
            .collect()
    }

    /// Whether an array should wait a moment for machines that have its image: where it has to be fetched
    /// its tasks would begin too late for their aim, and there is still time for a report.
    pub(super) fn should_wait_for_image(&self, s: &JobSpec, waited: Micros) -> bool {
        let Some(aim) = self.start_aim(s).filter(|_| s.is_array()) else { return false };
        let left = aim - waited.secs();
        left > self.cfg.platform.settings.workers.report_s && self.least_fetch_s(s) > left
    }

    /// Seconds that a job's image takes to fetch on the fastest type that it may use.
    fn least_fetch_s(&self, s: &JobSpec) -> f64 {
        let types = self.allowed_types(s);
        let fetch = types.iter().map(|&t| s.image_gb / self.types[t].fetch_gb_per_s.max(0.001));
        let fetch = fetch.fold(f64::INFINITY, f64::min);
        if fetch.is_finite() {
            fetch
        } else {
            0.0
        }
    }

    /// How long a job may wait before others are stopped for it: what its class's aim allows, less
    /// the reports that carry the stops and the starts, and the fetch of its image.
    pub(super) fn patience(&self, s: &JobSpec) -> Micros {
        let w = &self.cfg.platform.settings;
        if s.is_service() {
            // Each moment without a replica is missed by its users.
            return Micros::ZERO;
        }
        let Some(aim) = self.start_aim(s) else { return Micros::from_secs(2.0 * w.workers.report_s) };
        let fetch = self.least_fetch_s(s);
        // Where the fetch alone takes longer than the aim allows, only machines that have the image make
        // it: stopping others sooner gains nothing.
        let fetch = if fetch < aim { fetch } else { 0.0 };
        Micros::from_secs((aim - 1.5 * w.workers.report_s - fetch).max(0.0))
    }
}
