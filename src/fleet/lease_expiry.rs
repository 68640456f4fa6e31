//! Lease expiry of machines, and scale in of machines that stay silent or never come up.
//!
//! A worker stops its tasks when its lease expires. Once this leader knows for certain that a machine's lease
//! has expired, no task is running there any more, and the tasks may start elsewhere. A machine that stays
//! silent for some time after that is scaled in. A machine on which an earlier leader may have started tasks
//! is *unacknowledged* until it has acknowledged this leader's fencing token. Scaling in such a machine after
//! a failover is called *fencing*.

use super::{Fleet, Machine, SLOWER_CLOCK_FACTOR};
use crate::jobs::MachineId;
use crate::time::{Micros, Steady};

/// How long a machine that the cloud lists as running may stay silent after its lease has expired before it
/// is scaled in.
const PARTITION_GRACE: Micros = Micros(40_000_000);

/// Minimum time after a failover before unacknowledged machines are scaled in, if they are few.
const MIN_EARLY_FENCE: Micros = Micros(8_000_000);

/// If few machines are unacknowledged, they are scaled in one heartbeat interval and this many seconds
/// after a failover (but see `MIN_EARLY_FENCE`).
const EARLY_FENCE_MARGIN_S: f64 = 5.0;

/// Minimum time after a failover before unacknowledged machines are scaled in, if they are many; it applies
/// when the workers' lease is shorter.
const MIN_FENCE_DELAY: Micros = Micros(25_000_000);

/// Unacknowledged machines that the cloud does not list are scaled in this long after a failover.
const UNLISTED_GRACE: Micros = Micros(4_000_000);

/// A machine that the cloud does not list is scaled in after this many heartbeat intervals of silence.
const UNLISTED_SILENT_INTERVALS: f64 = 3.0;

/// A spot machine that has been silent for this many heartbeat intervals has most likely been reclaimed,
/// and is scaled in. The cloud's confirmation of the scale in then shows that the machine's tasks are gone,
/// well before its lease expires. With fewer intervals, a machine whose worker got no answer in time and is
/// trying other controllers would count as reclaimed. With more, the tasks of a machine that is reclaimed
/// without notice would start again later.
const SPOT_SILENT_INTERVALS: f64 = 3.0;

/// The value that replaces `SPOT_SILENT_INTERVALS` for a machine with a spot interruption notice.
const SPOT_SILENT_INTERVALS_AFTER_NOTICE: f64 = 2.5;

/// Minimum silence before a spot machine counts as reclaimed. A worker waits four seconds for an answer and
/// one more second before it tries the next controller.
const MIN_SPOT_SILENCE: Micros = Micros(5_000_000);

/// With fewer on-demand machines than this in a zone, their heartbeats alone do not show whether the
/// network is partitioned, and spot machines count as well.
const MIN_ON_DEMAND_MACHINES: usize = 20;

/// Silent or unacknowledged machines are *few* if they are at most one in this many machines.
const FEW_MACHINES_DIVISOR: usize = 10;

/// A machine that is not up after this many times the boot time of its type is expected never to come up.
const MAX_BOOT_FACTOR: f64 = 2.5;

/// Minimum time that a machine is given to come up, in seconds.
const MIN_BOOT_GRACE_S: f64 = 60.0;

/// A zone counts as partitioned only if at least this many of its machines have not come up in time.
const MIN_OVERDUE_IN_PARTITIONED_ZONE: usize = 2;

/// The moments and time limits that apply to all machines in one check for lease expiry.
struct LeaseExpiryCheck {
    now: Steady,
    /// When this leader was elected.
    failover_at: Steady,
    /// The latest moment at which this leader's own lease is known to have been valid.
    leader_lease_confirmed_at: Steady,
    /// How long a worker's lease lasts, with a safety margin.
    lease: Micros,
    /// Time after the failover by which every lease that an earlier leader granted has expired.
    earlier_leases_end_after: Micros,
    /// Time after the failover at which unacknowledged machines are scaled in.
    unacknowledged_timeout: Micros,
    heartbeat_interval: Micros,
    /// By zone, whether few machines are silent, so that neither the zone nor this leader is partitioned.
    few_silent: Vec<bool>,
    /// By zone, whether more machines have not come up in time than send heartbeats, so that the zone is
    /// most likely partitioned.
    mostly_overdue: Vec<bool>,
    /// Time after the failover at which unacknowledged machines are scaled in if they are few.
    early_fence_delay: Micros,
}

impl LeaseExpiryCheck {
    /// Marks the lease of an unacknowledged machine as expired once no lease granted by an earlier leader
    /// can be valid; returns whether it did so.
    fn expire_unacknowledged(&self, machine: &mut Machine) -> bool {
        if machine.acknowledged || self.now - self.failover_at <= self.earlier_leases_end_after {
            return false;
        }
        // From now on no command or reply of an earlier leader takes effect on the machine, so it need not be
        // scaled in first, which may be impossible because of an outage of the cloud.
        tracing::info!(machine = %machine.id, "lease expiry of earlier leaders");
        machine.acknowledged = true;
        machine.lease_expired = true;
        true
    }

    /// Marks an unacknowledged machine for scale in if too much time has passed since the failover.
    fn scale_in_unacknowledged(&self, machine: &mut Machine) {
        let silent = self.now - self.failover_at;
        if silent > self.unacknowledged_timeout || (machine.missing && silent > UNLISTED_GRACE) {
            tracing::info!(machine = %machine.id, reason = "silent since failover", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Marks a machine's lease as expired once that is certain; returns whether it did so now.
    fn expire(&self, machine: &mut Machine) -> bool {
        // Two conditions have to hold. First, the machine has acknowledged this leader's fencing token, and
        // this leader knows when it last renewed the lease. Otherwise an earlier leader might still be
        // renewing the lease. Second, this leader's own lease was confirmed at a moment after the end of the
        // machine's lease. Otherwise a newer leader might have renewed the machine's lease: a leader cut off
        // from the state store and from this machine, but not from other machines, would start this machine's
        // tasks a second time on other machines.
        let Some(renewed) = machine.lease_renewed_at() else { return false };
        let is_valid =
            self.now - renewed <= self.lease || self.leader_lease_confirmed_at - renewed <= self.lease;
        if machine.lease_expired || is_valid {
            return false;
        }
        tracing::info!(machine = %machine.id, "lease expiry");
        machine.lease_expired = true;
        // The worker has begun the next agent epoch or will do so. A late heartbeat of the current epoch must
        // not restore tasks that have ended.
        machine.latest_heartbeat.sequence = u64::MAX;
        true
    }

    /// Marks an acknowledged machine for scale in if it has sent no heartbeat for too long or never came up.
    fn scale_in_silent(&self, machine: &mut Machine, boot_s: f64) {
        match machine.lease_renewed_at() {
            Some(renewed) => self.scale_in_unrenewed(machine, renewed),
            None if machine.up => self.scale_in_without_heartbeat(machine),
            None => self.scale_in_never_up(machine, boot_s),
        }
    }

    /// Marks a machine for scale in if its lease was last renewed (at `renewed`) too long ago.
    fn scale_in_unrenewed(&self, machine: &mut Machine, renewed: Steady) {
        let silent = self.now - renewed.max(machine.unanswered_heartbeat_at);
        let reason = if machine.lease_expired && silent > self.lease + PARTITION_GRACE {
            // The cloud lists the machine as running. Most likely it is partitioned and would work again
            // afterwards, so it is given this additional time.
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

    /// Marks a machine for scale in that has shown this leader's fencing token in its reply to a direct
    /// command, and so should have sent a heartbeat soon afterwards, but has sent none for too long.
    fn scale_in_without_heartbeat(&self, machine: &mut Machine) {
        if self.now - machine.known_since > self.lease + PARTITION_GRACE {
            tracing::info!(machine = %machine.id, reason = "no heartbeat", "scale in");
            machine.scaling_in = true;
        }
    }

    /// Marks a machine for scale in that takes too long to come up. A machine that an earlier leader scaled
    /// out gets additional time, since it may be up and may still have to find this leader. A machine in a
    /// zone that is most likely partitioned, because most of its machines have not come up, gets more time
    /// still.
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

    /// Whether a machine is a spot instance that the cloud has most likely reclaimed, since it has been
    /// silent for the time `silent`.
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
    /// Expires leases and marks machines for scale in that have been silent for too long or never came up.
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

    /// Counts unacknowledged machines whose leases from earlier leaders have expired as lost: the recovery no
    /// longer waits for them.
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

    /// How long after the failover a worker's lease that an earlier leader has renewed can be valid. An
    /// earlier leader answers heartbeats for at most `max_staleness` after its own lease was last
    /// confirmed, which was before this leader's election.
    pub(super) fn earlier_leases_end_after(&self) -> Micros {
        self.config.max_staleness().scale(SLOWER_CLOCK_FACTOR) + self.worker_lease
    }

    /// The moments and time limits for a check at `now`.
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

    /// Whether at least two machines of a zone have not come up in time, and these are more than the
    /// machines of the zone that have sent a heartbeat within `max_silence`.
    fn mostly_overdue(&self, zone: usize, max_silence: Micros, now: Steady) -> bool {
        let in_zone = |machine: &&Machine| machine.zone == zone && !machine.scaling_in && !machine.missing;
        let is_overdue = |machine: &&Machine| {
            let boot_s = self.catalog.boot_s(machine.type_index);
            !machine.up && machine.acknowledged && boot_overdue(machine, boot_s, now) > Micros::ZERO
        };
        let sends_heartbeats = |machine: &&Machine| machine.up && now - machine.heartbeat_at <= max_silence;
        let overdue = self.machines.values().filter(in_zone).filter(is_overdue).count();
        overdue >= MIN_OVERDUE_IN_PARTITIONED_ZONE
            && overdue > self.machines.values().filter(in_zone).filter(sends_heartbeats).count()
    }

    /// How long after the failover unacknowledged machines are scaled in. As long as they exist, no task
    /// that may be running on them can start elsewhere. If they are few, they are therefore scaled in as
    /// soon as all other machines must have acknowledged. If they are many, a zone is most likely
    /// partitioned, and they get more time to reach this leader.
    fn unacknowledged_timeout(&self) -> Micros {
        let fence = self.fence_delay();
        let few_unacknowledged = self.unacknowledged_machines * FEW_MACHINES_DIVISOR <= self.machines.len();
        if few_unacknowledged {
            fence.min(self.early_fence_delay())
        } else {
            fence
        }
    }

    /// How long after the failover unacknowledged machines are scaled in if they are few. By then all other
    /// machines have sent a heartbeat.
    fn early_fence_delay(&self) -> Micros {
        let interval_s = self.config.platform.settings.workers.report_s;
        Micros::from_secs(interval_s + EARLY_FENCE_MARGIN_S).max(MIN_EARLY_FENCE)
    }

    /// How long after the failover unacknowledged machines are scaled in if they are many. Unless the
    /// operators set another time, this is when the leases that were valid at the failover have expired: a
    /// machine that reaches this leader before then still has its tasks.
    fn fence_delay(&self) -> Micros {
        let by_lease = self.worker_lease.max(MIN_FENCE_DELAY);
        self.config.operator.fence_after_s.map_or(by_lease, Micros::from_secs)
    }

    /// Whether at most a tenth of a zone's machines have been silent for longer than `max_silence`. If the
    /// zone has enough on-demand machines, only they count: the cloud may reclaim most spot machines at
    /// once, while a partition affects both kinds.
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

    /// The machines of a zone that are up and not marked for scale in.
    pub(super) fn machines_up_in(&self, zone: usize) -> impl Iterator<Item = &Machine> {
        let machines = self.machines.values();
        machines.filter(move |machine| machine.up && machine.zone == zone && !machine.scaling_in)
    }
}

/// How long a machine has exceeded the allowed boot time, as far as this leader has known of the machine;
/// zero or negative if it has not exceeded the boot time.
fn boot_overdue(machine: &Machine, boot_s: f64, now: Steady) -> Micros {
    let allowed = Micros::from_secs((boot_s * MAX_BOOT_FACTOR).max(MIN_BOOT_GRACE_S));
    (machine.age(now) - allowed).min(now - machine.known_since)
}
