//! What happens as time passes: leases that end, silent machines, renting and returning.

use super::*;

/// How often the log says how the machines are used.
pub(super) const USAGE_LOG_INTERVAL: Micros = Micros(15_000_000);

/// How long a machine that the cloud says is running is waited for after its lease ran out.
pub(super) const PARTITION_GRACE: Micros = Micros(40_000_000);

/// Silent machines that are few are fenced no sooner than this after a takeover.
pub(super) const MIN_EARLY_FENCE: Micros = Micros(8_000_000);

/// Silent machines that the cloud does not list are returned so long after a takeover.
pub(super) const UNLISTED_GRACE: Micros = Micros(4_000_000);

/// A spot machine that has been silent for so many reports has been taken, most likely, and is returned:
/// the cloud's answer shows that its tasks are gone, well before its lease would. With fewer, a worker that
/// was not answered in time and tries other controllers would be taken for gone; with more, the tasks of
/// each machine that is taken without notice begin again later.
const SILENT_REPORTS: f64 = 3.0;

/// The same after a notice.
const SILENT_REPORTS_AFTER_NOTICE: f64 = 2.5;

/// With fewer ordinary machines than this their reports do not show whether a network is cut.
const MIN_ORDINARY_MACHINES: usize = 20;

/// Spot machines are not taken for gone sooner than this: a worker waits for four seconds for an answer
/// and another one before it tries the next controller.
const LEAST_SILENCE: Micros = Micros(5_000_000);

/// How long a machine that is gone is remembered, so that late reports from it are refused.
const GONE_KEPT: Micros = Micros(900_000_000);

/// The bounds that a check for lease expiry holds each machine to.
struct LeaseExpiryBounds {
    now: Steady,
    /// When this owner took over.
    taken_over: Steady,
    /// At this moment nobody had taken over from this owner.
    confirmed: Steady,
    lease: Micros,
    /// So long after the takeover no lease of an earlier owner is left.
    earlier_owners_limit: Micros,
    /// So long after the takeover a machine that was not heard is returned.
    unheard_limit: Micros,
    heartbeat_interval: Micros,
    /// By zone, whether few machines are silent: neither it nor this owner is cut off.
    few_silent: Vec<bool>,
}

impl LeaseExpiryBounds {
    /// Takes a machine that was not heard for expired once no earlier owner's lease can hold on
    /// it, and returns whether that is so now.
    fn outlive_earlier_owners(&self, m: &mut Machine) -> bool {
        if m.heard || self.now - self.taken_over <= self.earlier_owners_limit {
            return false;
        }
        // Not heard and, with the cloud out, not returned: no earlier owner's command or
        // answer can still count on it.
        tracing::info!(machine = %m.id, "lease expiry of earlier leaders");
        (m.heard, m.expired) = (true, true);
        true
    }

    /// Marks a machine as leaving if it has been silent for too long since the takeover.
    fn return_unheard(&self, m: &mut Machine) {
        let silent = self.now - self.taken_over;
        if silent > self.unheard_limit || (m.missing && silent > UNLISTED_GRACE) {
            tracing::info!(machine = %m.id, reason = "silent since failover", "scale in");
            m.leaving = true;
        }
    }

    /// Expires a machine's lease if it ran out, and returns whether it did.
    fn expire(&self, m: &mut Machine) -> bool {
        // The last answer was this owner's and its token had arrived: the lease is ours to
        // count. Otherwise an earlier owner may still be renewing it, or, if this owner may
        // have been replaced before the lease ended, a later one: cut off from the state
        // service and from this machine, but not from others, it would start the same tasks
        // there.
        let Some(renewed) = m.renewed() else { return false };
        if m.expired || self.now - renewed <= self.lease || self.confirmed - renewed <= self.lease {
            return false;
        }
        tracing::info!(machine = %m.id, "lease expiry");
        m.expired = true;
        // The worker is in its next session, or will be: a late copy of a report from
        // this one must not bring back what has ended.
        m.seen.1 = u64::MAX;
        true
    }

    /// Marks a machine as leaving if it was heard but does not report, or never came up.
    fn return_silent(&self, m: &mut Machine, boot_s: f64) {
        match m.renewed() {
            Some(renewed) => self.return_unrenewed(m, renewed),
            None if m.up => {
                // It has shown this owner's token in answer to a direct command, and is bound to
                // report within moments.
                if self.now - m.known > self.lease + PARTITION_GRACE {
                    tracing::info!(machine = %m.id, reason = "no heartbeat", "scale in");
                    m.leaving = true;
                }
            }
            None => {
                let age = m.age + (self.now - m.known);
                if m.missing || age.secs() > (boot_s * 2.5).max(60.0) {
                    tracing::info!(machine = %m.id, age_s = age.secs(), reason = "never came up", "scale in");
                    m.leaving = true;
                }
            }
        }
    }

    /// Marks a machine as leaving whose lease was last renewed too long ago.
    fn return_unrenewed(&self, m: &mut Machine, renewed: Steady) {
        let silent = self.now - renewed.max(m.alive);
        if m.expired && silent > self.lease + PARTITION_GRACE {
            // The cloud says it runs: cut off, most likely, and good again afterwards.
            tracing::info!(machine = %m.id, reason = "silent for long", "scale in");
            m.leaving = true;
        } else if m.missing && silent > self.heartbeat_interval.scale(3.0) {
            tracing::info!(machine = %m.id, reason = "silent and not listed by the cloud", "scale in");
            m.leaving = true;
        } else if self.is_taken(m, silent) {
            tracing::info!(machine = %m.id, reason = "silent spot instance", "scale in");
            m.leaving = true;
        }
    }

    /// Whether the cloud has taken a machine, most likely, that has been silent for so long.
    fn is_taken(&self, m: &Machine, silent: Micros) -> bool {
        let reports = if m.notice.is_some() { SILENT_REPORTS_AFTER_NOTICE } else { SILENT_REPORTS };
        let few_silent = self.few_silent.get(m.zone).copied().unwrap_or(false);
        m.spot && few_silent && silent > self.heartbeat_interval.scale(reports).max(LEAST_SILENCE)
    }
}

impl Fleet {
    /// Leases that ran out, machines silent since a takeover, and boots that never end.
    pub fn tick(&mut self, now: Steady, wall: Wall) {
        self.check_leases(now);
        self.log_takeover_progress(now);
        self.log_recovery(now);
        if now - self.usage_logged > USAGE_LOG_INTERVAL {
            self.usage_logged = now;
            self.log_machine_use();
        }
        self.gone.retain(|_, at| now - *at < GONE_KEPT);
        self.refused.retain(|_, until| now < *until);
        self.forget_vacated(now);
        self.replan(now, wall);
    }

    /// Expires leases, and marks machines that have been silent for too long as leaving.
    fn check_leases(&mut self, now: Steady) {
        let check = self.lease_check(now);
        let (mut ended, mut given_up, mut outlasted) = (Vec::new(), Vec::new(), 0);
        for m in self.machines.values_mut() {
            if check.outlive_earlier_owners(m) {
                outlasted += 1;
                ended.push(m.id.clone());
                given_up.push(m.id.clone());
            }
            if m.leaving && (m.expired || !m.heard) {
                continue;
            }
            if !m.heard {
                check.return_unheard(m);
            } else if check.expire(m) {
                ended.push(m.id.clone());
            } else if !m.leaving {
                let boot_s = m.ty.and_then(|t| self.types.get(t)).map_or(60.0, |t| t.boot_s);
                check.return_silent(m, boot_s);
            }
        }
        if outlasted > 0 {
            self.unheard_machines = self.unheard_machines.saturating_sub(outlasted);
            self.uses.clear();
        }
        for id in given_up {
            self.machine_given_up(&id, now);
        }
        for id in ended {
            self.emptied(&id);
        }
    }

    /// The bounds for a check of the leases at a moment.
    fn lease_check(&self, now: Steady) -> LeaseExpiryBounds {
        let fence = Micros::from_secs(self.cfg.operator.fence_after_s);
        // A few silent machines hold up all that was started: once the others are heard, the cloud
        // is asked to end them. Where many are silent a zone is cut off, and they are waited for.
        let few = self.unheard_machines * 10 <= self.machines.len();
        let heartbeat_interval = self.heartbeat_interval();
        let silence = heartbeat_interval.scale(SILENT_REPORTS_AFTER_NOTICE);
        let soon = Micros::from_secs(self.cfg.platform.settings.workers.report_s + 5.0).max(MIN_EARLY_FENCE);
        LeaseExpiryBounds {
            now,
            taken_over: self.failover_at,
            confirmed: self.lease_confirmed_at,
            lease: self.lease,
            // An earlier owner answers no longer than `max_staleness` after it last knew that nobody
            // had taken over, and that was before this owner's claim.
            earlier_owners_limit: self.cfg.max_staleness().scale(1.001) + self.lease,
            unheard_limit: if few { fence.min(soon) } else { fence },
            heartbeat_interval,
            few_silent: (0..self.zones.len()).map(|zone| self.are_few_silent(zone, silence, now)).collect(),
        }
    }

    /// Whether at most a tenth of a zone's machines have been silent for so long. Where there are enough
    /// ordinary machines only those count: the cloud may take most spot machines at once, while a
    /// cut silences both kinds.
    fn are_few_silent(&self, zone: usize, silence: Micros, now: Steady) -> bool {
        let up = || self.machines.values().filter(|m| m.up && m.zone == zone && !m.leaving);
        let ordinary = up().filter(|m| !m.spot).count();
        let counts = |m: &&Machine| ordinary < MIN_ORDINARY_MACHINES || !m.spot;
        let silent = up().filter(counts).filter(|m| now - m.report.max(m.alive) > silence).count();
        silent * 10 <= up().filter(counts).count()
    }

    /// Logs when all machines of the earlier owner are heard or ended, and when no longer.
    fn log_takeover_progress(&mut self, now: Steady) {
        if (self.unheard_machines == 0) != self.all_heard {
            self.all_heard = self.unheard_machines == 0;
            let after = (now - self.failover_at).secs();
            tracing::info!(
                after_s = after,
                unheard = self.unheard_machines,
                "all machines of the earlier leader heard or expired"
            );
        }
    }

    /// Says by type and kind what is paid for and what of it is used.
    pub(super) fn log_machine_use(&self) {
        #[derive(Default)]
        struct Use {
            machines: u32,
            booting: u32,
            idle: u32,
            cpus: f64,
            placed: f64,
            running: f64,
        }
        let mut by: BTreeMap<(&str, bool), Use> = BTreeMap::new();
        for m in self.machines.values() {
            let u = by.entry((&m.ty_name, m.spot)).or_default();
            u.machines += 1;
            u.booting += u32::from(!m.up);
            u.idle += u32::from(m.up && m.tasks.is_empty());
            u.cpus += m.ty.map_or(0.0, |t| self.total(t).cpus);
            for e in m.tasks.values().filter(|e| e.live()) {
                let cpus = e.need.map_or(0.0, |n| n.cpus);
                u.placed += cpus;
                u.running += if e.stage == Some(TaskStage::Running) { cpus } else { 0.0 };
            }
        }
        for ((ty, spot), u) in by {
            let (machines, booting, idle) = (u.machines, u.booting, u.idle);
            let (placed, running) = (u.placed / u.cpus.max(0.1), u.running / u.cpus.max(0.1));
            tracing::info!(ty, spot, machines, booting, idle, placed, running, "machine utilization");
        }
        let waiting: u32 = self.plan.unmet.iter().map(|u| u.1).sum();
        tracing::info!(jobs = self.jobs.len(), waiting, "queue");
    }

    /// What to rent, and idle machines marked as leaving.
    pub fn capacity(&mut self, now: Steady, wall: Wall) -> Vec<(MachineOffer, u32)> {
        // Always on a plan of this very moment: its indices are the snapshot's.
        let (snapshot, machines) = self.plan_now(now, wall);
        let zones = self.type_zones();
        let view = Autoscaler {
            warm_pools: &self.warm(now),
            deadline_jobs_expected: &self.types_with_deadlines(now),
            snapshot: &snapshot,
            plan: &self.plan,
            machine_status: &self.upkeep_of(&machines, now),
            types: &self.types,
            zones: &zones,
            refused: &self.offers_to_avoid(now),
            policy: self.capacity_policy(),
        };
        let decision = view.decide();
        for m in decision.scale_in {
            self.return_idle(&machines[m]);
        }
        decision.scale_out.into_iter().map(|r| (r.offer, r.count)).collect()
    }

    /// What renting and returning need to know of each machine.
    fn upkeep_of(&self, machines: &[MachineId], now: Steady) -> Vec<MachineStatus> {
        let known = machines.iter().filter_map(|id| self.machines.get(id));
        known
            .map(|m| MachineStatus {
                age: m.age + (now - m.known),
                idle: (m.up && m.tasks.is_empty()).then(|| now - m.idle),
                booting: !m.up,
            })
            .collect()
    }

    /// The zones that each type is offered in.
    fn type_zones(&mut self) -> Vec<Vec<usize>> {
        self.types.clone().iter().map(|t| t.zones.iter().map(|z| self.zone(z)).collect()).collect()
    }

    /// For each type, whether more jobs with a deadline that may use it are expected.
    fn types_with_deadlines(&self, now: Steady) -> Vec<bool> {
        (0..self.types.len())
            .map(|ty| {
                let due = || self.demands.iter().filter(|d| d.due && d.types.contains(&ty));
                self.more_expected(due, self.slowest_boot_s(), now)
            })
            .collect()
    }

    /// Offers that the cloud refused lately, and all of zones that are cut off: new machines there
    /// could not report either.
    fn offers_to_avoid(&self, now: Steady) -> Vec<MachineOffer> {
        let mut offers: Vec<MachineOffer> = self.refused.keys().copied().collect();
        for zone in (0..self.zones.len()).filter(|z| self.is_cut_off(*z, now)) {
            let types = 0..self.types.len();
            offers.extend(types.flat_map(|ty| [false, true].map(|spot| MachineOffer { ty, zone, spot })));
        }
        offers
    }

    /// Whether most of a zone's machines are silent.
    fn is_cut_off(&self, zone: usize, now: Steady) -> bool {
        let heartbeat_interval = self.heartbeat_interval();
        let up = || self.machines.values().filter(|m| m.up && m.zone == zone && !m.leaving);
        let silent = up().filter(|m| now - m.report > heartbeat_interval.scale(3.0)).count();
        silent >= 2 && silent * 2 > up().count()
    }

    fn capacity_policy(&self) -> ScalingPolicy {
        let operator = &self.cfg.operator;
        ScalingPolicy {
            drain_time: Micros::from_secs(operator.drain_s),
            idle_timeout: Micros::from_secs(operator.idle_s),
            warm_idle_timeout: Micros::from_secs(operator.idle_protected_s),
            deadline_idle_timeout: Micros::from_secs(operator.idle_deadline_s),
            max_boot_factor: operator.slow_boot,
        }
    }

    /// Marks a machine as leaving if nothing is on it.
    fn return_idle(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id).filter(|m| m.tasks.is_empty()) {
            tracing::info!(machine = %m.id, reason = "idle", "scale in");
            m.leaving = true;
        }
    }

    /// The cloud had nothing of this for now.
    pub fn offer_refused(&mut self, offer: MachineOffer, until: Steady) {
        self.refused.insert(offer, until);
    }
}
