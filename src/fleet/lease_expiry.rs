//! Lease expiry of machines, and scale in of those that stay silent or never come up.
//!
//! A worker stops its tasks when its lease runs out. Once this leader knows for certain that a lease has
//! ended, the machine's tasks are gone and may start elsewhere; a machine that stays silent beyond that is
//! scaled in. A machine on which an earlier leader may have started tasks is *unacknowledged* until it has
//! acknowledged this leader's fencing token.

use super::{Fleet, Machine, SLOWER_CLOCK_FACTOR};
use crate::jobs::MachineId;
use crate::time::{Micros, Steady};

/// How long a machine that the cloud lists as running is waited for after its lease ran out.
const PARTITION_GRACE: Micros = Micros(40_000_000);

/// If few machines are silent, they are fenced no sooner than this after a failover.
const MIN_EARLY_FENCE: Micros = Micros(8_000_000);

/// Seconds beyond a heartbeat interval after which few silent machines are fenced after a failover.
const EARLY_FENCE_MARGIN_S: f64 = 5.0;

/// If many machines are silent, they are waited for this long after a failover however short their leases.
const MIN_FENCE_DELAY: Micros = Micros(25_000_000);

/// Silent machines that the cloud does not list are removed this long after a failover.
const UNLISTED_GRACE: Micros = Micros(4_000_000);

/// A machine that the cloud does not list is removed after this many heartbeat intervals of silence.
const UNLISTED_SILENT_INTERVALS: f64 = 3.0;

/// A spot machine that has been silent for this many heartbeat intervals has most likely been reclaimed,
/// and is removed: the cloud's answer shows that its tasks are gone, well before its lease would. With
/// fewer, a worker that was not answered in time and tries other controllers would be taken for gone;
/// with more, the tasks of each machine that is reclaimed without notice start again later.
const SPOT_SILENT_INTERVALS: f64 = 3.0;

/// The same after a spot interruption notice.
const SPOT_SILENT_INTERVALS_AFTER_NOTICE: f64 = 2.5;

/// Spot machines are not taken for gone sooner than this: a worker waits for four seconds for an answer
/// and another one before it tries the next controller.
const MIN_SPOT_SILENCE: Micros = Micros(5_000_000);

/// With fewer on-demand machines than this their heartbeats do not show whether a network is partitioned.
const MIN_ON_DEMAND_MACHINES: usize = 20;

/// Few machines are silent, or unacknowledged, if they are at most one in this many.
const FEW_MACHINES_DIVISOR: usize = 10;

/// A machine that is not up after this many times its type's boot time never will be.
const MAX_BOOT_FACTOR: f64 = 2.5;

/// The least seconds a machine is given to come up.
const MIN_BOOT_GRACE_S: f64 = 60.0;

/// With fewer machines that have not come up in time a zone does not count as partitioned.
const MIN_OVERDUE_IN_PARTITIONED_ZONE: usize = 2;

/// The moments and time limits that a check for lease expiry holds each machine to.
struct LeaseExpiryCheck {
    now: Steady,
    /// When this leader was elected.
    failover_at: Steady,
    /// The latest moment at which this leader's own lease is known to have been valid.
    leader_lease_confirmed_at: Steady,
    /// How long a worker's lease lasts, with a safety margin.
    lease: Micros,
    /// This long after the failover no lease granted by an earlier leader is left.
    earlier_leases_end_after: Micros,
    /// This long after the failover unacknowledged machines are scaled in.
    unacknowledged_timeout: Micros,
    heartbeat_interval: Micros,
    /// By zone, whether few machines are silent: neither the zone nor this leader is partitioned.
    few_silent: Vec<bool>,
    /// By zone, whether fewer machines are heard than have not come up in time.
    mostly_overdue: Vec<bool>,
    /// This long after a failover few silent machines are scaled in.
    early_fence_delay: Micros,
}

impl LeaseExpiryCheck {
    /// Expires an unacknowledged machine once no lease granted by an earlier leader can be
    /// valid, and returns whether that is so now.
    fn expire_unacknowledged(&self, machine: &mut Machine) -> bool {
        if machine.acknowledged || self.now - self.failover_at <= self.earlier_leases_end_after {
            return false;
        }
        // The cloud may be in an outage, so that the machine could not be scaled in: no command or reply of
        // an earlier leader can reach it any more.
        tracing::info!(machine = %machine.id, "lease expiry of earlier leaders");
        machine.acknowledged = true;
        machine.lease_expired = true;
        true
    }

    /// Marks a machine for scale in if it has been unacknowledged for too long since the failover.
    fn scale_in_unacknowledged(&self, machine: &mut Machine) {
        let silent = self.now - self.failover_at;
        if silent > self.unacknowledged_timeout || (machine.missing && silent > UNLISTED_GRACE) {
            tracing::info!(machine = %machine.id, reason = "silent since failover", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Expires a machine's lease if it has run out, and returns whether it did so now.
    fn expire(&self, machine: &mut Machine) -> bool {
        // The last reply was this leader's and its fencing token had arrived: no other leader has renewed
        // the lease since. Otherwise an earlier leader may still be renewing it, or, if this leader may have
        // been replaced before the lease ended, a later one: a leader cut off from the state store and from
        // this machine, but not from others, would start the same tasks there.
        let Some(renewed) = machine.lease_renewed_at() else { return false };
        let is_valid =
            self.now - renewed <= self.lease || self.leader_lease_confirmed_at - renewed <= self.lease;
        if machine.lease_expired || is_valid {
            return false;
        }
        tracing::info!(machine = %machine.id, "lease expiry");
        machine.lease_expired = true;
        // The worker is in its next session, or will be: a late copy of a heartbeat from this one must
        // not bring back what has ended.
        machine.latest_heartbeat.sequence = u64::MAX;
        true
    }

    /// Marks a machine for scale in if it is acknowledged but sends no heartbeats, or never came up.
    fn scale_in_silent(&self, machine: &mut Machine, boot_s: f64) {
        match machine.lease_renewed_at() {
            Some(renewed) => self.scale_in_unrenewed(machine, renewed),
            None if machine.up => self.scale_in_without_heartbeat(machine),
            None => self.scale_in_never_up(machine, boot_s),
        }
    }

    /// Marks a machine for scale in whose lease was last renewed too long ago.
    fn scale_in_unrenewed(&self, machine: &mut Machine, renewed: Steady) {
        let silent = self.now - renewed.max(machine.unanswered_heartbeat_at);
        let reason = if machine.lease_expired && silent > self.lease + PARTITION_GRACE {
            // The cloud lists it as running: partitioned, most likely, and good again afterwards.
            "silent for long"
        } else if machine.missing && silent > self.heartbeat_interval.scale(UNLISTED_SILENT_INTERVALS) {
            "silent and not listed by the cloud"
        } else if self.is_reclaimed(machine, silent) {
            "silent spot instance"
        } else {
            return;
        };
        tracing::info!(machine = %machine.id, reason, "scale in");
        machine.scaling_in = true;
    }

    /// Marks a machine for scale in that has shown this leader's fencing token in answer to a direct
    /// command, and so was bound to send a heartbeat within moments, but has not.
    fn scale_in_without_heartbeat(&self, machine: &mut Machine) {
        if self.now - machine.known_since > self.lease + PARTITION_GRACE {
            tracing::info!(machine = %machine.id, reason = "no heartbeat", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Marks a machine for scale in that boots for too long. One that an earlier leader scaled out may be up
    /// and first has to find this leader; where most of a zone's machines do not, it is partitioned.
    fn scale_in_never_up(&self, machine: &mut Machine, boot_s: f64) {
        let is_partitioned = self.mostly_overdue.get(machine.zone).copied().unwrap_or(false);
        let grace = if is_partitioned {
            PARTITION_GRACE
        } else if machine.age_when_known > Micros::ZERO {
            self.early_fence_delay
        } else {
            Micros::ZERO
        };
        if machine.missing || boot_overdue(machine, boot_s, self.now) > grace {
            let age_s = machine.age(self.now).secs();
            tracing::info!(machine = %machine.id, age_s, reason = "never came up", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Whether a machine that has been silent for this long is a spot instance that the cloud has most
    /// likely reclaimed.
    fn is_reclaimed(&self, machine: &Machine, silent: Micros) -> bool {
        let intervals = match machine.interruption_at {
            Some(_) => SPOT_SILENT_INTERVALS_AFTER_NOTICE,
            None => SPOT_SILENT_INTERVALS,
        };
        let few_silent = self.few_silent.get(machine.zone).copied().unwrap_or(false);
        machine.spot && few_silent && silent > self.heartbeat_interval.scale(intervals).max(MIN_SPOT_SILENCE)
    }
}

impl Fleet {
    /// Expires leases, and marks machines for scale in that have been silent for too long.
    pub(super) fn check_leases(&mut self, now: Steady) {
        let check = self.lease_expiry_check(now);
        let mut expired = Vec::new();
        let mut expired_unacknowledged = Vec::new();
        for machine in self.machines.values_mut() {
            if check.expire_unacknowledged(machine) {
                expired.push(machine.id.clone());
                expired_unacknowledged.push(machine.id.clone());
            }
            if machine.scaling_in && (machine.lease_expired || !machine.acknowledged) {
                continue;
            }
            if !machine.acknowledged {
                check.scale_in_unacknowledged(machine);
            } else if check.expire(machine) {
                expired.push(machine.id.clone());
            } else if !machine.scaling_in {
                check.scale_in_silent(machine, self.catalog.boot_s(machine.type_index));
            }
        }
        self.mark_unacknowledged_lost(&expired_unacknowledged, now);
        for id in expired {
            self.remove_all_tasks(&id);
        }
    }

    /// Machines whose leases from earlier leaders have expired are no longer waited for.
    fn mark_unacknowledged_lost(&mut self, machines: &[MachineId], now: Steady) {
        if machines.is_empty() {
            return;
        }
        self.unacknowledged_machines = self.unacknowledged_machines.saturating_sub(machines.len());
        self.cached_team_use.clear();
        for id in machines {
            self.mark_machine_lost(id, now);
        }
    }

    /// How long after the failover a lease that an earlier leader has renewed can be valid. It answers no longer
    /// than `max_staleness` after its own lease was last confirmed, and that was before this leader's election.
    pub(super) fn earlier_leases_end_after(&self) -> Micros {
        self.config.max_staleness().scale(SLOWER_CLOCK_FACTOR) + self.worker_lease
    }

    /// The time limits for a check at a moment.
    fn lease_expiry_check(&self, now: Steady) -> LeaseExpiryCheck {
        let heartbeat_interval = self.heartbeat_interval();
        let max_silence = heartbeat_interval.scale(SPOT_SILENT_INTERVALS_AFTER_NOTICE);
        let zones = 0..self.catalog.zones.len();
        LeaseExpiryCheck {
            now,
            failover_at: self.failover_at,
            leader_lease_confirmed_at: self.lease_confirmed_at,
            lease: self.worker_lease,
            earlier_leases_end_after: self.earlier_leases_end_after(),
            unacknowledged_timeout: self.unacknowledged_timeout(),
            heartbeat_interval,
            few_silent: zones.clone().map(|zone| self.few_silent(zone, max_silence, now)).collect(),
            mostly_overdue: zones.map(|zone| self.mostly_overdue(zone, max_silence, now)).collect(),
            early_fence_delay: self.early_fence_delay(),
        }
    }

    /// Whether at least two machines of a zone have not come up in time, and fewer are heard than that.
    fn mostly_overdue(&self, zone: usize, max_silence: Micros, now: Steady) -> bool {
        let in_zone = |machine: &&Machine| machine.zone == zone && !machine.scaling_in && !machine.missing;
        let is_overdue = |machine: &&Machine| {
            let boot_s = self.catalog.boot_s(machine.type_index);
            !machine.up && machine.acknowledged && boot_overdue(machine, boot_s, now) > Micros::ZERO
        };
        let is_heard = |machine: &&Machine| machine.up && now - machine.heartbeat_at <= max_silence;
        let overdue = self.machines.values().filter(in_zone).filter(is_overdue).count();
        overdue >= MIN_OVERDUE_IN_PARTITIONED_ZONE
            && overdue > self.machines.values().filter(in_zone).filter(is_heard).count()
    }

    /// How long after a failover unacknowledged machines are scaled in. Until a few silent machines are
    /// gone, no task that may be running on them can start elsewhere: they are scaled in as soon as the
    /// others have acknowledged. Where many are silent a zone is partitioned, and they are waited for.
    fn unacknowledged_timeout(&self) -> Micros {
        let fence = self.fence_delay();
        let few_unacknowledged = self.unacknowledged_machines * FEW_MACHINES_DIVISOR <= self.machines.len();
        if few_unacknowledged {
            fence.min(self.early_fence_delay())
        } else {
            fence
        }
    }

    /// How long after a failover machines are waited for where few are silent: by then all others have sent a
    /// heartbeat.
    fn early_fence_delay(&self) -> Micros {
        let interval_s = self.config.platform.settings.workers.report_s;
        Micros::from_secs(interval_s + EARLY_FENCE_MARGIN_S).max(MIN_EARLY_FENCE)
    }

    /// How long after a failover machines are waited for where many are silent. Unless the operators say
    /// otherwise, until the leases that ran at the failover have expired: a machine that is back before
    /// has its tasks still.
    fn fence_delay(&self) -> Micros {
        let by_lease = self.worker_lease.max(MIN_FENCE_DELAY);
        self.config.operator.fence_after_s.map_or(by_lease, Micros::from_secs)
    }

    /// Whether at most a tenth of a zone's machines have been silent for longer than `max_silence`. Where
    /// there are enough on-demand machines only those count: the cloud may reclaim most spot machines at
    /// once, while a partition silences both kinds.
    fn few_silent(&self, zone: usize, max_silence: Micros, now: Steady) -> bool {
        let on_demand = self.machines_up_in(zone).filter(|machine| !machine.spot).count();
        let counts = |machine: &&Machine| on_demand < MIN_ON_DEMAND_MACHINES || !machine.spot;
        let is_silent = |machine: &&Machine| {
            now - machine.heartbeat_at.max(machine.unanswered_heartbeat_at) > max_silence
        };
        let counted = self.machines_up_in(zone).filter(counts).count();
        let silent = self.machines_up_in(zone).filter(counts).filter(is_silent).count();
        silent * FEW_MACHINES_DIVISOR <= counted
    }

    /// The machines of a zone that are up and not about to be removed.
    pub(super) fn machines_up_in(&self, zone: usize) -> impl Iterator<Item = &Machine> {
        let machines = self.machines.values();
        machines.filter(move |machine| machine.up && machine.zone == zone && !machine.scaling_in)
    }
}

/// How long this leader has known a machine to be beyond the boot time that is allowed; not above zero if it
/// is not.
fn boot_overdue(machine: &Machine, boot_s: f64, now: Steady) -> Micros {
    let allowed = Micros::from_secs((boot_s * MAX_BOOT_FACTOR).max(MIN_BOOT_GRACE_S));
    (machine.age(now) - allowed).min(now - machine.known_since)
}
