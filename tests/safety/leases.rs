//! Leases of machines: the tasks of a silent machine start elsewhere only once its lease has certainly
//! expired.

use milletlock::store_contact::StoreContact;
use milletlock::time::Micros;
use milletlock::wire::TaskStage;

use crate::common::clock::{at, wall, START};
use crate::common::{config, heartbeat, spec};
use crate::fixtures::{
    assert_second_machine_starts_nothing, fleet_with_a_running_task, machine_record, new_fleet,
    reply_commands, started_job, starts, write_all,
};

#[test]
fn tasks_of_a_silent_machine_start_elsewhere_only_after_its_lease_has_certainly_expired() {
    let (mut fleet, _) = fleet_with_a_running_task();
    reply_commands(&mut fleet, 2.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 2.0);
    for (count, second) in (3..23).enumerate() {
        fleet.tick(at(second as f64), wall(second as f64));
        let commands = reply_commands(&mut fleet, second as f64, &heartbeat("i-2", count as u64 + 2, 7, &[]));
        assert!(starts(&commands).is_empty(), "started elsewhere after {second} s");
    }
    // The lease lasts 22 s from the last reply at 2 s, and the leader adds a margin.
    fleet.confirm_lease(at(25.9));
    fleet.tick(at(26.0), wall(26.0));
    assert_eq!(starts(&reply_commands(&mut fleet, 26.0, &heartbeat("i-2", 50, 7, &[]))).len(), 1);
    assert!(fleet.machines_to_scale_in().is_empty(), "the machine may only be partitioned");
    for second in [45, 60, 70] {
        reply_commands(&mut fleet, second as f64, &heartbeat("i-2", 100 + second, 7, &[]));
        fleet.tick(at(second as f64), wall(second as f64));
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

/// Guards against a fault seen with a partitioned zone: the leader inside the zone, cut off from the state
/// store and the other controllers, expired the leases of machines outside and started their tasks again
/// inside, while the next leader was renewing these leases.
#[test]
fn a_leader_that_may_have_been_replaced_expires_no_lease() {
    let (mut fleet, _) = fleet_with_a_running_task();
    reply_commands(&mut fleet, 2.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 2.0);
    // The leader's own lease was last confirmed before the machine's lease had expired.
    fleet.confirm_lease(at(25.0));
    for second in 26..60u32 {
        fleet.tick(at(f64::from(second)), wall(f64::from(second)));
        let commands =
            reply_commands(&mut fleet, f64::from(second), &heartbeat("i-2", u64::from(second), 7, &[]));
        assert!(starts(&commands).is_empty(), "started elsewhere after {second} s");
    }
    // Once its own lease is confirmed for a later moment, no other leader can have renewed the machine's
    // lease, and the task may start again.
    fleet.confirm_lease(at(60.0));
    fleet.tick(at(60.1), wall(60.1));
    assert_eq!(starts(&reply_commands(&mut fleet, 61.0, &heartbeat("i-2", 99, 7, &[]))).len(), 1);
}

#[test]
fn the_lease_of_an_unacknowledged_machine_does_not_expire_by_its_heartbeats() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 6, START);
    // The machine sends one heartbeat, with the old leader's fencing token: that leader may still renew the
    // lease.
    reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 5, 8, &[]));
    reply_commands(&mut fleet, 1.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 1.0);
    for second in [10.0, 14.0, 30.0, 45.0, 60.0] {
        fleet.tick(at(second), wall(second));
        assert!(
            starts(&reply_commands(&mut fleet, second, &heartbeat("i-2", second as u64, 9, &[]))).is_empty()
        );
    }
    // Only the machine's removal makes certain that the task is not running.
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
    fleet.remove_scaled_in_machines(&["i-1".into()], at(61.0));
    fleet.tick(at(61.1), wall(61.1));
    assert_eq!(starts(&reply_commands(&mut fleet, 62.0, &heartbeat("i-2", 99, 9, &[]))).len(), 1);
}

/// A worker that cannot reach a controller replies only to the new leader's direct commands. Its tasks start
/// elsewhere as soon as its lease has certainly expired, and not before.
#[test]
fn the_lease_of_a_machine_that_replies_only_to_direct_commands_expires() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    assert_eq!(fleet.apply_direct_command_reply(&heartbeat("i-1", 9, 9, &running), at(3.0)), None);
    assert_eq!(fleet.unacknowledged_machines(), 0);
    reply_commands(&mut fleet, 3.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 3.0);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 4..27);
    fleet.confirm_lease(at(27.5));
    fleet.tick(at(27.5), wall(27.5));
    assert_eq!(starts(&reply_commands(&mut fleet, 27.5, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

/// During an outage of the cloud no machine can be scaled in, and a machine that does not reply would delay
/// tasks until the end of the outage. An earlier leader can have answered the machine's heartbeats until at
/// most 23 s after the failover.
#[test]
fn unacknowledged_machines_delay_tasks_no_longer_than_a_lease_of_an_earlier_leader_can_last() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    reply_commands(&mut fleet, 0.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 0.0);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 1..46);
    // The machine is to be scaled in, but the cloud has not confirmed it.
    assert_eq!((fleet.unacknowledged_machines(), fleet.machines_to_scale_in().len()), (1, 1));
    fleet.confirm_lease(at(47.0));
    fleet.tick(at(47.0), wall(47.0));
    assert_eq!(fleet.unacknowledged_machines(), 0);
    assert_eq!(starts(&reply_commands(&mut fleet, 47.0, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

/// Guards against a fault found by a random simulation: a leader answered a heartbeat of a machine that had
/// not seen its fencing token, and the reply was lost. An earlier leader, partitioned together with the
/// machine, went on renewing the lease. When the new fencing token was delivered later by direct command,
/// the lease counted from that first reply, and the machine's task started elsewhere too early.
#[test]
fn a_reply_sent_before_the_fencing_token_was_delivered_starts_no_lease() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    reply_commands(&mut fleet, 1.0, &heartbeat("i-1", 8, 5, &running));
    reply_commands(&mut fleet, 1.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 1.0);
    assert_eq!(fleet.apply_direct_command_reply(&heartbeat("i-1", 30, 9, &running), at(20.0)), None);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 20..44);
    fleet.confirm_lease(at(44.0));
    fleet.tick(at(44.0), wall(44.0));
    assert_eq!(starts(&reply_commands(&mut fleet, 44.0, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

#[test]
fn maximum_staleness_and_lease_together_are_shorter_than_the_cancellation_time() {
    let config = config();
    let workers = &config.platform.settings.workers;
    assert!(config.max_staleness().secs() + workers.lease_s * 1.001 < workers.cancel_s);
    assert!(config.max_staleness().secs() > 0.0);
}

/// A leader may act only for a limited time after its last read and after its last renewal of the lease,
/// whichever is earlier. Renewals count because the next leader relies on this limit for the last reply of
/// this leader, even if this leader has read all cancellations. Reads count because only they show
/// cancellations, even if the lease is renewed.
#[test]
fn a_leader_may_act_only_for_a_limited_time_after_reads_and_renewals() {
    let bound = Micros::from_secs(10.0);
    let (mut reads, mut renewals) = (StoreContact::new(START, bound), StoreContact::new(START, bound));
    reads.record_read(at(9.0));
    renewals.record_renewal(at(9.0));
    for contact in [reads, renewals] {
        assert!(contact.may_act(at(10.0)) && !contact.may_act(at(10.1)));
    }
    reads.record_renewal(at(8.0));
    assert!(reads.may_act(at(18.0)) && !reads.may_act(at(18.1)));
    // A response that was overtaken by a later one does not move the limit back.
    reads.record_renewal(at(7.0));
    reads.record_read(at(1.0));
    assert!(reads.may_act(at(18.0)));
}
