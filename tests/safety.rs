//! One test or more for each numbered point of the safety design that the owner's `Fleet` decides.
//! There is no state service here: `write_all` acknowledges what waits to be written.

mod common;

use common::clock::{at, wall, START};
use common::{config, record, report, spec, types};
use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::leadership;
use milletlock::records::{JobRecord, MachineRecord};
use milletlock::store_contact::StoreContact;
use milletlock::time::Micros;
use milletlock::wire::{ExitReason, JobSpec, ListedMachine, TaskStage, WorkerCommand};

fn fleet(fencing_token: u64) -> Fleet {
    Fleet::new(config(), types(), fencing_token, START)
}

fn started(spec: JobSpec, high: u32) -> JobRecord {
    JobRecord { start_mark: high, ..record(spec) }
}

fn machine(ty: &str) -> MachineRecord {
    MachineRecord {
        shard: 0,
        fencing_token: 1,
        address: "127.0.0.1:9".into(),
        machine_type: ty.into(),
        zone: "north".into(),
        spot: false,
        ..MachineRecord::default()
    }
}

/// Acknowledges all writes that wait.
fn write_all(f: &mut Fleet, s: f64) {
    let pending = f.pending_writes(at(s), Micros::ZERO, 1000);
    // Values are large enough here for all to go at once.
    for b in leadership::batches(f, 1, pending, 1000, at(s), wall(s)) {
        for (p, said) in &b.items {
            f.write_applied(p, 1000, said, at(s));
        }
    }
}

fn orders(f: &mut Fleet, s: f64, r: &milletlock::wire::Heartbeat) -> Vec<WorkerCommand> {
    match f.check_in(r, at(s), wall(s)) {
        HeartbeatOutcome::Reply(r) => r.commands,
        other => panic!("not answered: {other:?}"),
    }
}

fn starts(orders: &[WorkerCommand]) -> Vec<(String, u64)> {
    orders
        .iter()
        .filter_map(|o| match o {
            WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

/// A machine that is enrolled and has reported, and a job that may start on it.
fn ready(job: JobSpec) -> Fleet {
    let mut f = fleet(7);
    f.apply_job_record(record(job), 1, START);
    orders(&mut f, 0.0, &report("i-1", 1, 0, &[]));
    write_all(&mut f, 0.0);
    f.tick(at(0.1), wall(0.1));
    write_all(&mut f, 0.1);
    f
}

/// A job's only task has been running on the one machine since 2 s; gives its name and attempt.
fn with_a_running_task() -> (Fleet, (String, u64)) {
    let mut f = ready(spec(1, 1, "batch"));
    let s = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).remove(0);
    let running = [(s.0.as_str(), s.1, TaskStage::Running, None)];
    orders(&mut f, 2.0, &report("i-1", 3, 7, &running));
    (f, s)
}

/// In each of these seconds the owner is confirmed, time passes, and the machine `i-2`, which has room, is
/// given nothing. Returns the number of its next report.
fn starts_nothing_on_the_second(f: &mut Fleet, seconds: std::ops::Range<i32>) -> u64 {
    let mut sequence = 2;
    for s in seconds {
        let s = f64::from(s);
        f.confirm_lease(at(s));
        f.tick(at(s), wall(s));
        assert!(starts(&orders(f, s, &report("i-2", sequence, 9, &[]))).is_empty(), "after {s} s");
        sequence += 1;
    }
    sequence
}

#[test]
fn a_start_that_a_newer_report_lacks_is_started_again() {
    let mut f = ready(spec(1, 1, "batch"));
    let first = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[])));
    assert_eq!(first.len(), 1);
    // The same report once more decides nothing.
    assert_eq!(f.check_in(&report("i-1", 2, 7, &[]), at(1.5), wall(1.5)), HeartbeatOutcome::Refuse);
    let second = starts(&orders(&mut f, 2.0, &report("i-1", 3, 7, &[])));
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].1, second[0].1, "an attempt number is used twice");
}

#[test]
fn attempts_of_a_later_token_are_greater() {
    let mut early = ready(spec(1, 4, "batch"));
    let a = starts(&orders(&mut early, 1.0, &report("i-1", 2, 7, &[])));
    let mut late = fleet(8);
    late.apply_job_record(record(spec(2, 4, "batch")), 1, START);
    orders(&mut late, 0.0, &report("i-9", 1, 0, &[]));
    write_all(&mut late, 0.0);
    late.tick(at(0.1), wall(0.1));
    write_all(&mut late, 0.1);
    let b = starts(&orders(&mut late, 1.0, &report("i-9", 2, 8, &[])));
    assert_eq!((a.len(), b.len()), (4, 4));
    assert!(a.iter().all(|x| b.iter().all(|y| x.1 < y.1)));
}

#[test]
fn a_silent_machine_keeps_its_tasks_until_its_lease_has_surely_run_out() {
    let (mut f, _) = with_a_running_task();
    orders(&mut f, 2.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 2.0);
    for (k, t) in (3..23).enumerate() {
        f.tick(at(t as f64), wall(t as f64));
        let o = orders(&mut f, t as f64, &report("i-2", k as u64 + 2, 7, &[]));
        assert!(starts(&o).is_empty(), "started elsewhere after {t} s");
    }
    // Lease 22 s from the last answer at 2 s, and the margin.
    f.confirm_lease(at(25.9));
    f.tick(at(26.0), wall(26.0));
    assert_eq!(starts(&orders(&mut f, 26.0, &report("i-2", 50, 7, &[]))).len(), 1);
    assert!(f.machines_to_scale_in().is_empty(), "a machine that may only be cut off is waited for");
    for t in [45, 60, 70] {
        orders(&mut f, t as f64, &report("i-2", 100 + t, 7, &[]));
        f.tick(at(t as f64), wall(t as f64));
    }
    assert_eq!(f.machines_to_scale_in(), ["i-1"]);
}

/// What a day with a zone cut off showed: the owner inside, without the state service and the other
/// controllers, went on placing there what it took for ended on machines outside, whose leases the
/// next owner was renewing.
#[test]
fn an_owner_that_may_have_been_replaced_counts_no_lease() {
    let (mut f, _) = with_a_running_task();
    orders(&mut f, 2.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 2.0);
    // Its own lease was last renewed before the machine's had run out.
    f.confirm_lease(at(25.0));
    for t in 26..60u32 {
        f.tick(at(f64::from(t)), wall(f64::from(t)));
        let o = orders(&mut f, f64::from(t), &report("i-2", u64::from(t), 7, &[]));
        assert!(starts(&o).is_empty(), "started elsewhere after {t} s");
    }
    // Once it knows that nobody had followed it by then, the task may start again.
    f.confirm_lease(at(60.0));
    f.tick(at(60.1), wall(60.1));
    assert_eq!(starts(&orders(&mut f, 61.0, &report("i-2", 99, 7, &[]))).len(), 1);
}

#[test]
fn the_lease_of_a_machine_that_is_not_heard_is_not_counted() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 5, START);
    f.apply_job_record(started(spec(1, 1, "batch"), 1), 6, START);
    // It reports once, still with the old owner's token: that owner may yet renew its lease.
    orders(&mut f, 1.0, &report("i-1", 5, 8, &[]));
    orders(&mut f, 1.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 1.0);
    for t in [10.0, 14.0, 30.0, 45.0, 60.0] {
        f.tick(at(t), wall(t));
        assert!(starts(&orders(&mut f, t, &report("i-2", t as u64, 9, &[]))).is_empty());
    }
    // Only its return ends the doubt.
    assert_eq!(f.machines_to_scale_in(), ["i-1"]);
    f.machines_scaled_in(&["i-1".into()], at(61.0));
    f.tick(at(61.1), wall(61.1));
    assert_eq!(starts(&orders(&mut f, 62.0, &report("i-2", 99, 9, &[]))).len(), 1);
}

#[test]
fn after_a_takeover_only_what_cannot_be_elsewhere_starts() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 5, START);
    f.inherit_machine("i-2", &machine("small"), 5, START);
    f.apply_job_record(started(spec(1, 8, "batch"), 6), 6, START);
    f.apply_job_record(started(spec(2, 2, "gang"), 2), 7, START);
    orders(&mut f, 0.5, &report("i-2", 9, 9, &[]));
    f.tick(at(0.6), wall(0.6));
    write_all(&mut f, 0.6);
    let s = starts(&orders(&mut f, 1.0, &report("i-2", 10, 9, &[])));
    let names: Vec<&str> = s.iter().map(|x| x.0.as_str()).collect();
    assert_eq!(names, ["wk-000001/6", "wk-000001/7"]);
    // The missing machine shows our token and holds one of the tasks: the others may start.
    let there = [("wk-000001/0", 77, TaskStage::Running, None)];
    orders(&mut f, 1.5, &report("i-1", 40, 9, &there));
    f.tick(at(1.6), wall(1.6));
    write_all(&mut f, 1.6);
    let rest = starts(&orders(&mut f, 2.0, &report("i-1", 41, 9, &there)));
    assert!(!rest.is_empty() && rest.iter().all(|x| x.0 != "wk-000001/0"));
}

#[test]
fn a_limited_team_counts_unheard_machines_as_its_own() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 5, START);
    let mut s = spec(1, 8, "batch");
    s.team = "tight".into();
    f.apply_job_record(record(s), 6, START);
    orders(&mut f, 0.5, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 0.5);
    f.tick(at(0.6), wall(0.6));
    write_all(&mut f, 0.6);
    // The limit is 6 and the unheard machine has 4 processors: two are left.
    assert_eq!(starts(&orders(&mut f, 1.0, &report("i-2", 2, 9, &[]))).len(), 2);
}

#[test]
fn a_higher_token_ends_ownership_and_is_never_answered_with_200() {
    let mut f = ready(spec(1, 1, "batch"));
    assert_eq!(f.check_in(&report("i-1", 2, 8, &[]), at(1.0), wall(1.0)), HeartbeatOutcome::Superseded(8));
    assert_eq!(f.direct_command_answered(&report("i-1", 3, 9, &[]), at(1.0)), Some(9));
}

#[test]
fn the_time_without_a_view_ends_early_enough_for_cancellations() {
    let c = config();
    let w = &c.platform.settings.workers;
    assert!(c.max_staleness().secs() + w.lease_s * 1.001 < w.cancel_s);
    assert!(c.max_staleness().secs() > 0.0);
}

#[test]
fn nothing_starts_before_its_mark_and_its_machine_are_written() {
    let mut f = fleet(7);
    f.apply_job_record(record(spec(1, 1, "batch")), 1, START);
    assert!(starts(&orders(&mut f, 0.0, &report("i-1", 1, 0, &[]))).is_empty(), "not enrolled");
    assert_eq!(f.pending_writes(at(0.0), Micros::ZERO, 1000), [PendingWrite::Machines(0)]);
    write_all(&mut f, 0.0);
    assert!(starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).is_empty(), "not marked as started");
    assert!(f
        .pending_writes(at(1.0), Micros::ZERO, 1000)
        .iter()
        .any(|p| matches!(p, PendingWrite::StartMarks(_))));
    write_all(&mut f, 1.0);
    assert_eq!(starts(&orders(&mut f, 2.0, &report("i-1", 3, 7, &[]))).len(), 1);
}

#[test]
fn forget_follows_the_written_done_range() {
    let mut f = ready(spec(1, 3, "batch"));
    let s = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[])));
    assert_eq!(s.len(), 3);
    let done = [
        (s[0].0.as_str(), s[0].1, TaskStage::Exited, Some(ExitReason::Done)),
        (s[1].0.as_str(), s[1].1, TaskStage::Exited, Some(ExitReason::Done)),
        (s[2].0.as_str(), s[2].1, TaskStage::Running, None),
    ];
    let o = orders(&mut f, 2.0, &report("i-1", 3, 7, &done));
    assert!(!o.iter().any(|o| matches!(o, WorkerCommand::Forget { .. })), "forgotten before it is written");
    write_all(&mut f, 3.0);
    let o = orders(&mut f, 4.0, &report("i-1", 4, 7, &done));
    let forget = |s: &(String, u64)| WorkerCommand::Forget { task: s.0.clone(), attempt: s.1 };
    assert_eq!(o, [forget(&s[0]), forget(&s[1])]);
}

#[test]
fn a_start_leaves_with_an_answer_that_waited_unless_a_newer_report_has_come() {
    let (mut f, (task, attempt)) = with_a_running_task();
    assert!(!f.may_defer_reply("i-1", at(2.0)), "what changes on a busy machine must be heard at once");
    let done = [(task.as_str(), attempt, TaskStage::Exited, Some(ExitReason::Done))];
    orders(&mut f, 3.0, &report("i-1", 4, 7, &done));
    write_all(&mut f, 3.1);
    orders(&mut f, 3.5, &report("i-1", 5, 7, &done));
    let idle = report("i-1", 6, 7, &[]);
    assert!(orders(&mut f, 4.0, &idle).is_empty() && f.may_defer_reply("i-1", at(4.0)));
    f.apply_job_record(record(spec(2, 2, "gang")), 2000, at(4.2));
    f.tick(at(4.3), wall(4.3));
    assert!(!f.has_ready_start("i-1"), "its mark is not written");
    write_all(&mut f, 4.4);
    assert!(f.has_ready_start("i-1"));
    // A newer report has come in between: its answer carries the starts, this one nothing.
    let mut g = ready(spec(1, 2, "batch"));
    assert!(g.deferred_orders(&report("i-1", 0, 7, &[]), at(4.5), wall(4.5)).is_empty());
    assert_eq!(starts(&f.deferred_orders(&idle, at(4.5), wall(4.5))).len(), 2);
    assert!(starts(&f.deferred_orders(&idle, at(4.6), wall(4.6))).is_empty(), "once");
}

#[test]
fn a_late_copy_does_not_bring_a_job_back() {
    let mut f = ready(spec(1, 1, "batch"));
    f.job_ended("wk-000001", 1000);
    f.apply_job_record(record(spec(1, 1, "batch")), 999, at(1.0));
    assert!(f.jobs.is_empty());
    assert!(starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).is_empty());
}

#[test]
fn places_are_checked_at_the_start_with_all_that_is_possibly_there() {
    let mut one_zone = spec(1, 6, "batch");
    one_zone.one_zone = true;
    let mut f = ready(one_zone);
    let mut south = report("i-2", 1, 0, &[]);
    south.zone = "south".into();
    orders(&mut f, 0.5, &south);
    write_all(&mut f, 0.5);
    assert_eq!(starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).len(), 4);
    south.sequence = 2;
    south.fencing_token = 7;
    write_all(&mut f, 1.1);
    assert!(starts(&orders(&mut f, 1.2, &south)).is_empty(), "a second zone beside starts on their way");

    let mut spread = spec(2, 3, "batch");
    spread.spread = true;
    let mut f = ready(spread);
    assert_eq!(starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).len(), 2);

    let mut no_spot = spec(3, 1, "batch");
    no_spot.spot = false;
    let mut f = fleet(7);
    f.apply_job_record(record(no_spot), 1, START);
    let mut r = report("i-1", 1, 0, &[]);
    r.spot = true;
    orders(&mut f, 0.0, &r);
    write_all(&mut f, 0.0);
    r.sequence = 2;
    r.fencing_token = 7;
    assert!(starts(&orders(&mut f, 1.0, &r)).is_empty());
}

#[test]
fn a_limit_holds_across_jobs_and_machines() {
    let mut f = fleet(7);
    for n in 1..=2 {
        let mut s = spec(n, 4, "batch");
        s.team = "tight".into();
        f.apply_job_record(record(s), u64::from(n), START);
    }
    for m in ["i-1", "i-2"] {
        orders(&mut f, 0.0, &report(m, 1, 0, &[]));
    }
    write_all(&mut f, 0.0);
    f.tick(at(0.1), wall(0.1));
    write_all(&mut f, 0.1);
    let a = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).len();
    let b = starts(&orders(&mut f, 1.1, &report("i-2", 2, 7, &[]))).len();
    assert_eq!(a + b, 6);
}

#[test]
fn a_gang_does_not_starve_behind_small_tasks_of_its_own_limited_team() {
    let mut small = spec(1, 30, "batch");
    small.team = "tight".into();
    let mut f = ready(small);
    orders(&mut f, 0.5, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 0.5);
    let mut gang = spec(2, 3, "gang");
    gang.team = "tight".into();
    gang.priority = milletlock::wire::Priority::Urgent;
    let held = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[])));
    let more = starts(&orders(&mut f, 1.1, &report("i-2", 2, 7, &[])));
    assert_eq!((held.len(), more.len()), (4, 2), "the limit of 6 is used up");
    f.apply_job_record(record(gang), 9, at(1.2));
    // Two end; four are in use and the gang needs three of six: the small ones may not refill.
    let mut there: Vec<_> =
        more.iter().map(|s| (s.0.as_str(), s.1, TaskStage::Exited, Some(ExitReason::Done))).collect();
    let o = orders(&mut f, 2.0, &report("i-2", 3, 7, &there));
    assert!(starts(&o).is_empty());
    there.clear();
    let left = [(held[0].0.as_str(), held[0].1, TaskStage::Exited, Some(ExitReason::Done))];
    let running: Vec<_> = held[1..].iter().map(|s| (s.0.as_str(), s.1, TaskStage::Running, None)).collect();
    orders(&mut f, 3.0, &report("i-1", 3, 7, &[&left[..], &running[..]].concat()));
    f.tick(at(3.1), wall(3.1));
    write_all(&mut f, 3.1);
    let mut s = starts(&orders(&mut f, 4.0, &report("i-2", 4, 7, &[])));
    s.extend(starts(&orders(&mut f, 4.1, &report("i-1", 4, 7, &running))));
    assert_eq!(s.iter().filter(|s| s.0.starts_with("wk-000002/")).count(), 3);
}

#[test]
fn unknown_machines_are_enrolled_and_returned_ones_stay_gone() {
    let mut f = fleet(7);
    orders(&mut f, 0.0, &report("i-5", 1, 0, &[]));
    assert_eq!(f.pending_writes(START, Micros::ZERO, 1000), [PendingWrite::Machines(0)]);
    assert!(f.machine_records.get("i-5").is_some());
    f.machines_scaled_in(&["i-5".into()], at(1.0));
    assert_eq!(f.check_in(&report("i-5", 2, 7, &[]), at(2.0), wall(2.0)), HeartbeatOutcome::Refuse);
}

#[test]
fn tasks_of_a_job_that_is_over_are_halted_and_hold_their_machine() {
    let mut f = fleet(7);
    f.apply_job_record(record(spec(2, 4, "batch")), 1, START);
    let there = [("wk-000001/0", 3, TaskStage::Running, None)];
    f.inherit_machine("i-1", &machine("small"), 0, START);
    orders(&mut f, 0.0, &report("i-1", 1, 7, &there));
    write_all(&mut f, 0.0);
    f.tick(at(0.1), wall(0.1));
    write_all(&mut f, 0.1);
    let o = orders(&mut f, 1.0, &report("i-1", 2, 7, &there));
    assert_eq!(o, [WorkerCommand::Halt { task: "wk-000001/0".into(), attempt: 3, grace_s: 0.0 }]);
    let ended = [("wk-000001/0", 3, TaskStage::Exited, Some(ExitReason::Stopped))];
    let o = orders(&mut f, 2.0, &report("i-1", 3, 7, &ended));
    assert_eq!(o[0], WorkerCommand::Forget { task: "wk-000001/0".into(), attempt: 3 });
    f.tick(at(2.1), wall(2.1));
    write_all(&mut f, 2.1);
    assert_eq!(starts(&orders(&mut f, 3.0, &report("i-1", 4, 7, &[]))).len(), 4);
}

#[test]
fn a_gang_that_lost_a_task_is_stopped_before_it_starts_again() {
    let mut f = ready(spec(1, 2, "gang"));
    let s = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[])));
    assert_eq!(s.len(), 2);
    assert_eq!(s[0].1, s[1].1, "the tasks of a gang share their attempt");
    let half = [
        (s[0].0.as_str(), s[0].1, TaskStage::Running, None),
        (s[1].0.as_str(), s[1].1, TaskStage::Exited, Some(ExitReason::Error)),
    ];
    let o = orders(&mut f, 2.0, &report("i-1", 3, 7, &half));
    assert!(o.iter().any(|o| matches!(o, WorkerCommand::Halt { task, .. } if *task == s[0].0)));
    assert!(starts(&o).is_empty());
    let gone = [(s[0].0.as_str(), s[0].1, TaskStage::Exited, Some(ExitReason::Stopped))];
    orders(&mut f, 5.0, &report("i-1", 4, 7, &gone));
    let again = starts(&orders(&mut f, 6.0, &report("i-1", 5, 7, &[])));
    assert_eq!(again.len(), 2);
    assert_ne!(again[0].1, s[0].1);
}

#[test]
fn a_failing_job_is_backed_off_and_a_failing_machine_returned() {
    let mut f = ready(spec(1, 1, "batch"));
    let mut sequence = 2;
    let mut tries = 0;
    for t in 1..60 {
        let s = starts(&orders(&mut f, t as f64, &report("i-1", sequence, 7, &[])));
        sequence += 1;
        if let Some((task, attempt)) = s.first() {
            tries += 1;
            let ended = [(task.as_str(), *attempt, TaskStage::Exited, Some(ExitReason::Error))];
            orders(&mut f, t as f64 + 0.5, &report("i-1", sequence, 7, &ended));
            sequence += 1;
        }
    }
    assert!((3..=6).contains(&tries), "{tries} tries within a minute");
    assert!(f.machines_to_scale_in().is_empty(), "one mistaken job does not condemn a machine");
    f.apply_job_record(record(spec(2, 1, "batch")), 50, at(60.0));
    f.tick(at(61.0), wall(61.0));
    write_all(&mut f, 61.0);
    let s = starts(&orders(&mut f, 62.0, &report("i-1", sequence, 7, &[])));
    let ended = [(s[0].0.as_str(), s[0].1, TaskStage::Exited, Some(ExitReason::Error))];
    orders(&mut f, 63.0, &report("i-1", sequence + 1, 7, &ended));
    assert_eq!(f.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn a_teams_status_shows_only_what_is_its_own() {
    let mut f = ready(spec(1, 1, "batch"));
    let mut other = spec(2, 1, "batch");
    other.team = "tight".into();
    f.apply_job_record(record(other), 2, START);
    let all = f.status(None, at(1.0), wall(1.0));
    assert_eq!((all.jobs.len(), all.machines.len()), (2, 1));
    let one = f.status(Some("tight"), at(1.0), wall(1.0));
    let ids: Vec<&str> = one.jobs.iter().map(|j| j.id.as_str()).collect();
    assert_eq!((ids, one.machines.len()), (vec!["wk-000002"], 0));
}

#[test]
fn a_new_owner_knows_what_large_machines_are_kept_for() {
    // Without it, each takeover returned the idle machines that the next urgent job needed.
    let mut hasty = spec(1, 1, "gang");
    hasty.class = Some("quick".into());
    hasty.image_gb = 5.0;
    hasty.cpus = 15.0;
    let mut f = fleet(7);
    f.apply_job_record(record(hasty), 1, START);
    assert!(f.pending_writes(at(20.0), Micros::ZERO, 1000).contains(&PendingWrite::RecentJobs));
    let list = f.recent_job_records(at(20.0), wall(20.0), 4000);
    assert_eq!(list.len(), 1);
    let mut next = fleet(8);
    next.inherit_recent_jobs(list, at(30.0), wall(30.0));
    let again = next.recent_job_records(at(30.0), wall(30.0), 4000);
    assert_eq!(
        (again[0].submitted_us, again[0].starts_before_boot, &again[0].types[..]),
        (wall(0.0).0, true, &["large".to_string()][..])
    );
    assert!(f.recent_job_records(at(20.0), wall(20.0), 50).is_empty(), "a list that does not fit a value");
}

/// After each takeover nothing idle was returned for a minute, since every machine seemed new.
#[test]
fn a_new_owner_knows_the_age_of_what_others_rented() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 0, START);
    orders(&mut f, 0.5, &report("i-1", 9, 9, &[]));
    let idle = |f: &mut Fleet, s: f64| {
        orders(f, s, &report("i-1", 10 + s as u64, 9, &[]));
        let _ = f.decide_scaling(at(s), wall(s));
        f.machines_to_scale_in().len()
    };
    assert_eq!(idle(&mut f, 20.0), 0, "as far as is known it has just been rented");
    let listed = ListedMachine {
        id: "i-1".into(),
        address: None,
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        stage: "running".into(),
        age_s: 300.0,
    };
    // One that has only answered a direct command so far is no boot that never ended.
    f.inherit_machine("i-2", &machine("small"), 0, at(19.0));
    f.direct_command_answered(&report("i-2", 9, 9, &[]), at(20.5));
    f.machines_listed(&[listed.clone(), ListedMachine { id: "i-2".into(), ..listed }], at(21.0));
    f.tick(at(21.5), wall(21.5));
    assert!(f.machines_to_scale_in().is_empty());
    assert_eq!(idle(&mut f, 22.0), 1);
}

#[test]
fn late_copies_of_reports_renew_nothing_and_bring_nothing_back() {
    let (mut f, (task, attempt)) = with_a_running_task();
    let running = [(task.as_str(), attempt, TaskStage::Running, None)];
    // Sent before the machine was cut off, this one arrives when its lease has run out.
    let held = report("i-1", 4, 7, &running);
    // A copy within the lease does not put off its end.
    assert_eq!(f.check_in(&report("i-1", 3, 7, &running), at(20.0), wall(20.0)), HeartbeatOutcome::Refuse);
    f.confirm_lease(at(25.9));
    f.tick(at(26.0), wall(26.0));
    assert!(f.jobs["wk-000001"].waiting.contains(0), "the lease has surely run out");
    assert_eq!(f.check_in(&held, at(27.0), wall(27.0)), HeartbeatOutcome::Refuse);
    assert!(f.jobs["wk-000001"].waiting.contains(0), "a late report brought back what has ended");
    // The machine itself is back in its next session.
    let mut back = report("i-1", 1, 7, &[]);
    back.agent_epoch = 2;
    assert!(matches!(f.check_in(&back, at(30.0), wall(30.0)), HeartbeatOutcome::Reply(_)));
    // From before this owner came, of a machine that has no record any more.
    let mut g = fleet(9);
    assert_eq!(g.check_in(&report("i-7", 40, 8, &running), at(1.0), wall(1.0)), HeartbeatOutcome::Refuse);
    assert!(g.machines.is_empty());
    // A copy that shows an older token ends nobody's ownership, and does not count as heard.
    g.inherit_machine("i-8", &machine("small"), 0, START);
    assert!(matches!(g.check_in(&report("i-8", 40, 8, &[]), at(1.0), wall(1.0)), HeartbeatOutcome::Reply(_)));
    assert_eq!(g.unacknowledged_machines(), 1);
}

#[test]
fn a_machine_that_answers_do_not_reach_gets_nothing_more_and_goes_back() {
    let mut f = ready(spec(1, 400, "batch"));
    let (mut sequence, mut offered, mut t) = (2, Vec::new(), 1.0);
    while f.machines_to_scale_in().is_empty() && t < 120.0 {
        // What it was told to start never shows in what it reports.
        offered.push(starts(&orders(&mut f, t, &report("i-1", sequence, 7, &[]))).len());
        write_all(&mut f, t + 0.1);
        f.tick(at(t + 0.2), wall(t + 0.2));
        (sequence, t) = (sequence + 1, t + 3.0);
    }
    assert_eq!(f.machines_to_scale_in(), ["i-1"]);
    assert!(t < 90.0, "returned after {t} s only");
    let busy = offered.iter().filter(|n| **n > 0).count();
    assert!(busy <= 5 && offered.len() > busy, "work kept going to it: {offered:?}");
    // Nothing counted as delivered: all is there to be started elsewhere.
    f.machines_scaled_in(&["i-1".into()], at(t));
    assert_eq!(f.jobs["wk-000001"].waiting.len(), 400);
}

#[test]
fn a_machine_whose_lease_ends_although_it_is_answered_is_deaf_too() {
    let mut f = ready(spec(1, 1, "batch"));
    for agent_epoch in 1..=3u64 {
        for k in 0..8u64 {
            let t = agent_epoch as f64 * 24.0 + k as f64 * 3.0;
            let mut r = report("i-1", 10 + k, 7, &[]);
            r.agent_epoch = agent_epoch;
            f.check_in(&r, at(t), wall(t));
        }
    }
    assert_eq!(f.machines_to_scale_in(), ["i-1"]);
}

#[test]
fn few_silent_machines_are_fenced_soon_and_many_are_waited_for() {
    let after = |silent: usize, t: f64| {
        let mut f = fleet(9);
        for n in 0..20 {
            f.inherit_machine(&format!("i-{n}"), &machine("small"), 0, START);
        }
        for n in silent..20 {
            orders(&mut f, 1.0, &report(&format!("i-{n}"), 9, 9, &[]));
        }
        f.tick(at(t), wall(t));
        f.machines_to_scale_in().len()
    };
    assert_eq!((after(2, 7.0), after(2, 9.0)), (0, 2));
    assert_eq!((after(8, 9.0), after(8, 24.0), after(8, 26.0)), (0, 0, 8));
}

/// A thousand and more machines, all heard within a moment of a takeover, each with what it runs.
#[test]
fn a_takeover_with_everything_back_at_once_starts_nothing_that_runs() {
    const MACHINES: u32 = 1500;
    let mut f = fleet(9);
    let id = |m: u32| format!("i-{m:06}");
    (0..MACHINES).for_each(|m| f.inherit_machine(&id(m), &machine("small"), 0, START));
    for n in 1..=100 {
        f.apply_job_record(started(spec(n, 60, "batch"), 40), u64::from(n), START);
    }
    // The first 3,000 tasks run, two on a machine; of each job ten more may have been started.
    let task = |k: u32| format!("wk-{:06}/{}", k % 100 + 1, k / 100);
    let runs = |m: u32| [task(2 * m), task(2 * m + 1)];
    let report_of = |m: u32, sequence: u64| {
        let [a, b] = runs(m);
        let there = [(&*a, 5, TaskStage::Running, None), (&*b, 6, TaskStage::Running, None)];
        report(&id(m), sequence, 9, &there)
    };
    let mut given: Vec<String> = Vec::new();
    for round in 0..4u64 {
        for m in 0..MACHINES {
            let s = 1.0 + round as f64 * 3.0 + f64::from(m) * 1e-3;
            let r = report_of(m, 100 + round);
            given.extend(starts(&orders(&mut f, s, &r)).into_iter().map(|x| x.0));
        }
        assert_eq!(f.unacknowledged_machines(), 0);
        let s = 3.0 + round as f64 * 3.0;
        f.tick(at(s), wall(s));
        write_all(&mut f, s);
    }
    let running: std::collections::BTreeSet<String> = (0..MACHINES).flat_map(runs).collect();
    assert!(given.len() > 1000, "only {} starts", given.len());
    assert!(given.iter().all(|t| !running.contains(t)), "a running task was started again");
}

/// Copies of reports come by the thousand, from seconds to well over a lease late.
#[test]
fn late_copies_by_the_thousand_change_nothing_and_are_not_remembered() {
    const MACHINES: u32 = 400;
    let mut f = fleet(7);
    f.apply_job_record(record(spec(1, 100, "batch")), 1, START);
    let id = |m: u32| format!("i-{m:06}");
    for sequence in 1..=3 {
        for m in 0..MACHINES {
            let fencing_token = if sequence > 1 { 7 } else { 0 };
            f.check_in(
                &report(&id(m), sequence, fencing_token, &[]),
                at(sequence as f64),
                wall(sequence as f64),
            );
        }
        write_all(&mut f, sequence as f64);
    }
    // Half of them go.
    let gone: Vec<String> = (0..MACHINES / 2).map(id).collect();
    f.machines_scaled_in(&gone, at(4.0));
    let (machines, before) = (f.machines.len(), format!("{:?}", f.machines));
    let stale = [("wk-000001/3", 99, TaskStage::Running, None)];
    for late in [5.0, 12.0, 23.0, 60.0, 300.0] {
        for m in 0..MACHINES {
            for (sequence, tasks) in [(1, &stale[..]), (3, &[][..])] {
                let r = report(&id(m), sequence, if sequence > 1 { 7 } else { 0 }, tasks);
                assert_eq!(f.check_in(&r, at(late), wall(late)), HeartbeatOutcome::Refuse);
            }
        }
    }
    assert_eq!((f.machines.len(), format!("{:?}", f.machines)), (machines, before));
    // What is remembered of those that are gone ends as well: long after, a name is only a name.
    f.tick(at(1000.0), wall(1000.0));
    assert!(matches!(
        f.check_in(&report(&id(0), 4, 7, &[]), at(1000.0), wall(1000.0)),
        HeartbeatOutcome::Reply(_)
    ));
}

/// The notice of another controller may be held up on the way for a minute. The owner that it reaches
/// then may never have known the job, which was cancelled before it came.
#[test]
fn a_notice_held_up_until_a_new_owner_came_starts_nothing() {
    let mut f = fleet(8);
    f.advance_jobs_revision(50);
    f.apply_job_record(record(spec(1, 1, "batch")), 40, at(1.0));
    assert!(f.jobs.is_empty(), "its record was gone when all was read");
    // One that is newer than the read is news.
    f.apply_job_record(record(spec(2, 1, "batch")), 51, at(1.0));
    assert_eq!(f.jobs.len(), 1);
    // Told of its end before the read shows it, and of its beginning once more after that.
    f.job_ended("wk-000003", 55);
    f.apply_job_record(record(spec(3, 1, "batch")), 53, at(2.0));
    f.advance_jobs_revision(60);
    f.apply_job_record(record(spec(3, 1, "batch")), 53, at(3.0));
    f.job_ended("wk-000002", 58);
    f.apply_job_record(record(spec(2, 1, "batch")), 51, at(3.0));
    assert!(f.jobs.is_empty());
}

/// A worker that reaches no controller: a new owner hears it by direct command alone. What it runs is
/// started nowhere else before its lease has surely run out, and no later than that.
#[test]
fn a_machine_heard_by_command_only_has_an_end_of_its_lease() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 0, START);
    f.apply_job_record(started(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    assert_eq!(f.direct_command_answered(&report("i-1", 9, 9, &running), at(3.0)), None);
    assert_eq!(f.unacknowledged_machines(), 0);
    orders(&mut f, 3.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 3.0);
    let sequence = starts_nothing_on_the_second(&mut f, 4..27);
    f.confirm_lease(at(27.5));
    f.tick(at(27.5), wall(27.5));
    assert_eq!(starts(&orders(&mut f, 27.5, &report("i-2", sequence, 9, &[]))).len(), 1);
}

/// With the cloud out nothing is returned, and a machine that answers nobody would hold up work for as
/// long. An earlier owner can have answered it until 23 s after the claim at the most.
#[test]
fn unheard_machines_hold_work_up_no_longer_than_an_earlier_owner_can_answer_them() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 0, START);
    f.apply_job_record(started(spec(1, 1, "batch"), 1), 1, START);
    orders(&mut f, 0.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 0.0);
    let sequence = starts_nothing_on_the_second(&mut f, 1..46);
    // Asked to be returned, but the cloud has not answered.
    assert_eq!((f.unacknowledged_machines(), f.machines_to_scale_in().len()), (1, 1));
    f.confirm_lease(at(47.0));
    f.tick(at(47.0), wall(47.0));
    assert_eq!(f.unacknowledged_machines(), 0);
    assert_eq!(starts(&orders(&mut f, 47.0, &report("i-2", sequence, 9, &[]))).len(), 1);
}

/// Found by a random simulation: an owner answered a report of a machine that had not seen its token, and the
/// answer was lost; an earlier owner, cut off with the machine, went on renewing its lease. Brought the new
/// token later, the machine counted as having had that first answer, and its task began elsewhere.
#[test]
fn an_answer_before_the_token_arrived_is_no_beginning_of_a_lease() {
    let mut f = fleet(9);
    f.inherit_machine("i-1", &machine("small"), 0, START);
    f.apply_job_record(started(spec(1, 1, "batch"), 1), 1, START);
    let running = [("wk-000001/0", 5, TaskStage::Running, None)];
    orders(&mut f, 1.0, &report("i-1", 8, 5, &running));
    orders(&mut f, 1.0, &report("i-2", 1, 0, &[]));
    write_all(&mut f, 1.0);
    assert_eq!(f.direct_command_answered(&report("i-1", 30, 9, &running), at(20.0)), None);
    let sequence = starts_nothing_on_the_second(&mut f, 20..44);
    f.confirm_lease(at(44.0));
    f.tick(at(44.0), wall(44.0));
    assert_eq!(starts(&orders(&mut f, 44.0, &report("i-2", sequence, 9, &[]))).len(), 1);
}

/// Halts go by direct command to machines whose report is overdue, and to no others; nothing else is
/// commanded that way.
#[test]
fn what_is_left_of_cancelled_jobs_on_silent_machines_is_halted_by_command() {
    let (mut f, task) = with_a_running_task();
    f.job_ended("wk-000001", 5);
    assert!(f.halt_commands(at(3.0)).is_empty(), "the answer to its next report will tell it");
    let due = f.halt_commands(at(7.0));
    assert_eq!(due.len(), 1);
    assert_eq!((&*due[0].machine, due[0].agent_epoch), ("i-1", 1));
    assert_eq!(
        due[0].commands,
        [WorkerCommand::Halt { task: task.0.clone(), attempt: task.1, grace_s: 0.0 }]
    );
    assert!(f.halt_commands(at(8.0)).is_empty(), "said a moment ago");
    assert_eq!(f.halt_commands(at(12.0)).len(), 1);
    // A task that may run is not stopped for silence.
    let (mut f, _) = with_a_running_task();
    assert!(f.halt_commands(at(20.0)).is_empty());
}

/// In a long outage the owner may answer nobody. The machines go on reporting, and are not taken for
/// silent, or for deaf, when it is over.
#[test]
fn machines_that_were_not_answered_are_neither_silent_nor_deaf() {
    let mut f = ready(spec(1, 1, "batch"));
    let s = starts(&orders(&mut f, 1.0, &report("i-1", 2, 7, &[]))).remove(0);
    orders(&mut f, 2.0, &report("i-1", 3, 7, &[(s.0.as_str(), s.1, TaskStage::Running, None)]));
    for t in 3..90 {
        f.heartbeat_unanswered("i-1", at(f64::from(t)));
        f.tick(at(f64::from(t)), wall(f64::from(t)));
    }
    f.confirm_lease(at(90.0));
    f.tick(at(90.0), wall(90.0));
    assert!(f.machines_to_scale_in().is_empty(), "it reports, and only was not answered");
    let mut later = report("i-1", 1, 7, &[]);
    later.agent_epoch = 2;
    orders(&mut f, 90.5, &later);
    f.tick(at(90.6), wall(90.6));
    assert_eq!(f.machines["i-1"].undelivered_replies, 0);
    later.sequence = 2;
    assert_eq!(starts(&orders(&mut f, 91.0, &later)).len(), 1, "and has work again");
}

/// The next owner counts on it that this one answers no longer than its view allows, though it may see all
/// cancellations; a cancellation is seen by reads alone, though the lease may be renewed.
#[test]
fn the_view_rests_on_reads_and_on_renewals() {
    let bound = Micros::from_secs(10.0);
    let (mut reads, mut renewals) = (StoreContact::new(START, bound), StoreContact::new(START, bound));
    reads.note_read(at(9.0));
    renewals.note_renewal(at(9.0));
    for v in [reads, renewals] {
        assert!(v.may_act(at(10.0)) && !v.may_act(at(10.1)));
    }
    reads.note_renewal(at(8.0));
    assert!(reads.may_act(at(18.0)) && !reads.may_act(at(18.1)));
    // An answer that was overtaken by a later one moves nothing back.
    reads.note_renewal(at(7.0));
    reads.note_read(at(1.0));
    assert!(reads.may_act(at(18.0)));
}
