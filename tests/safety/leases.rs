//! The leases of machines: what runs on a silent one starts elsewhere only once its lease has expired.

use milletlock::store_contact::StoreContact;
use milletlock::time::Micros;
use milletlock::wire::TaskStage;

use crate::common::clock::{at, wall, START};
use crate::common::{config, heartbeat, spec};
use crate::fixtures::{
    assert_second_machine_starts_nothing, fleet_with_a_running_task, machine_record, new_fleet, orders,
    started_job, starts, write_all,
};

#[test]
fn a_silent_machine_keeps_its_tasks_until_its_lease_has_surely_expired() {
    let (mut fleet, _) = fleet_with_a_running_task();
    orders(&mut fleet, 2.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 2.0);
    for (k, t) in (3..23).enumerate() {
        fleet.tick(at(t as f64), wall(t as f64));
        let o = orders(&mut fleet, t as f64, &heartbeat("i-2", k as u64 + 2, 7, &[]));
        assert!(starts(&o).is_empty(), "started elsewhere after {t} s");
    }
    // Lease 22 s from the last reply at 2 s, and the margin.
    fleet.confirm_lease(at(25.9));
    fleet.tick(at(26.0), wall(26.0));
    assert_eq!(starts(&orders(&mut fleet, 26.0, &heartbeat("i-2", 50, 7, &[]))).len(), 1);
    assert!(fleet.machines_to_scale_in().is_empty(), "a machine that may only be partitioned is waited for");
    for t in [45, 60, 70] {
        orders(&mut fleet, t as f64, &heartbeat("i-2", 100 + t, 7, &[]));
        fleet.tick(at(t as f64), wall(t as f64));
    }
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
}

/// What a day with a zone partitioned showed: the leader inside, without the state store and the other
/// controllers, went on placing there what it took for ended on machines outside, whose leases the
/// next leader was renewing.
#[test]
fn a_leader_that_may_have_been_replaced_counts_no_lease() {
    let (mut fleet, _) = fleet_with_a_running_task();
    orders(&mut fleet, 2.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 2.0);
    // Its own lease was last renewed before the machine's had run out.
    fleet.confirm_lease(at(25.0));
    for t in 26..60u32 {
        fleet.tick(at(f64::from(t)), wall(f64::from(t)));
        let o = orders(&mut fleet, f64::from(t), &heartbeat("i-2", u64::from(t), 7, &[]));
        assert!(starts(&o).is_empty(), "started elsewhere after {t} s");
    }
    // Once it knows that nobody had followed it by then, the task may start again.
    fleet.confirm_lease(at(60.0));
    fleet.tick(at(60.1), wall(60.1));
    assert_eq!(starts(&orders(&mut fleet, 61.0, &heartbeat("i-2", 99, 7, &[]))).len(), 1);
}

#[test]
fn the_lease_of_a_machine_that_is_not_heard_is_not_counted() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 5, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 6, START);
    // It sends one heartbeat, still with the old leader's fencing token: that leader may yet renew its lease.
    orders(&mut fleet, 1.0, &heartbeat("i-1", 5, 8, &[]));
    orders(&mut fleet, 1.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 1.0);
    for t in [10.0, 14.0, 30.0, 45.0, 60.0] {
        fleet.tick(at(t), wall(t));
        assert!(starts(&orders(&mut fleet, t, &heartbeat("i-2", t as u64, 9, &[]))).is_empty());
    }
    // Only its return ends the doubt.
    assert_eq!(fleet.machines_to_scale_in(), ["i-1"]);
    fleet.machines_scaled_in(&["i-1".into()], at(61.0));
    fleet.tick(at(61.1), wall(61.1));
    assert_eq!(starts(&orders(&mut fleet, 62.0, &heartbeat("i-2", 99, 9, &[]))).len(), 1);
}

/// A worker that reaches no controller: a new leader hears it by direct command alone. What it runs is
/// started nowhere else before its lease has surely run out, and no later than that.
#[test]
fn a_machine_heard_by_command_only_has_an_end_of_its_lease() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    assert_eq!(fleet.direct_command_answered(&heartbeat("i-1", 9, 9, &running), at(3.0)), None);
    assert_eq!(fleet.unacknowledged_machines(), 0);
    orders(&mut fleet, 3.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 3.0);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 4..27);
    fleet.confirm_lease(at(27.5));
    fleet.tick(at(27.5), wall(27.5));
    assert_eq!(starts(&orders(&mut fleet, 27.5, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

/// With the cloud out nothing is returned, and a machine that replies to nobody would hold up work for as
/// long. An earlier leader can have replied to it until 23 s after the claim at the most.
#[test]
fn unheard_machines_delay_work_no_longer_than_an_earlier_leader_can_reply_to_them() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    orders(&mut fleet, 0.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 0.0);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 1..46);
    // Asked to be returned, but the cloud has not replied.
    assert_eq!((fleet.unacknowledged_machines(), fleet.machines_to_scale_in().len()), (1, 1));
    fleet.confirm_lease(at(47.0));
    fleet.tick(at(47.0), wall(47.0));
    assert_eq!(fleet.unacknowledged_machines(), 0);
    assert_eq!(starts(&orders(&mut fleet, 47.0, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

/// Found by a random simulation: a leader replied to a heartbeat of a machine that had not seen its fencing
/// token, and the reply was lost; an earlier leader, partitioned with the machine, went on renewing its
/// lease. Brought the new fencing token later, the machine counted as having had that first reply, and its
/// task began elsewhere.
#[test]
fn a_reply_before_the_fencing_token_arrived_starts_no_lease() {
    let mut fleet = new_fleet(9);
    fleet.load_machine("i-1", &machine_record("small"), 0, START);
    fleet.apply_job_record(started_job(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    orders(&mut fleet, 1.0, &heartbeat("i-1", 8, 5, &running));
    orders(&mut fleet, 1.0, &heartbeat("i-2", 1, 0, &[]));
    write_all(&mut fleet, 1.0);
    assert_eq!(fleet.direct_command_answered(&heartbeat("i-1", 30, 9, &running), at(20.0)), None);
    let sequence = assert_second_machine_starts_nothing(&mut fleet, 20..44);
    fleet.confirm_lease(at(44.0));
    fleet.tick(at(44.0), wall(44.0));
    assert_eq!(starts(&orders(&mut fleet, 44.0, &heartbeat("i-2", sequence, 9, &[]))).len(), 1);
}

#[test]
fn the_time_without_store_contact_ends_early_enough_for_cancellations() {
    let c = config();
    let w = &c.platform.settings.workers;
    assert!(c.max_staleness().secs() + w.lease_s * 1.001 < w.cancel_s);
    assert!(c.max_staleness().secs() > 0.0);
}

/// The next leader counts on it that this one replies no longer than its view allows, though it may see all
/// cancellations; a cancellation is seen by reads alone, though the lease may be renewed.
#[test]
fn store_contact_rests_on_reads_and_on_renewals() {
    let bound = Micros::from_secs(10.0);
    let (mut reads, mut renewals) = (StoreContact::new(START, bound), StoreContact::new(START, bound));
    reads.note_read(at(9.0));
    renewals.note_renewal(at(9.0));
    for v in [reads, renewals] {
        assert!(v.may_act(at(10.0)) && !v.may_act(at(10.1)));
    }
    reads.note_renewal(at(8.0));
    assert!(reads.may_act(at(18.0)) && !reads.may_act(at(18.1)));
    // A reply that was overtaken by a later one moves nothing back.
    reads.note_renewal(at(7.0));
    reads.note_read(at(1.0));
    assert!(reads.may_act(at(18.0)));
}
