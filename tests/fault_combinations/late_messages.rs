//! Messages and transactions that arrive late, after newer ones: combinations 2, 3, 5 and 11.

use milletlock::fleet::{HeartbeatOutcome, PendingWrite};
use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall};
use crate::common::spec;
use crate::scenario::{Link, Scenario, WriteKind, STEP};

/// Combination 2: old heartbeats after newer ones, of an earlier session and of an earlier attempt, at the
/// leader and at the next. Against a copy that revives what has ended or ends what runs.
#[test]
fn old_heartbeats_of_earlier_sessions_and_attempts_are_refused_after_newer_ones() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    let a = scenario.submit(spec(1, 1, "batch"), 60.0);
    scenario.run(4.0);
    let first = scenario.machines_of(&a).remove(0);
    let agent_epoch = scenario.worker(&first).state.heartbeat();
    // Its lease runs out in a cut, and the task begins on the other machine.
    scenario.link(&[&first], Link::Down);
    scenario.run(30.0);
    assert_eq!((scenario.started(&a), scenario.worker(&first).state.agent_epoch), (2, 2));
    let second = scenario.machines_of(&a).remove(0);
    assert_ne!(first, second);
    scenario.link(&[&first], Link::Up);
    let b = scenario.submit(spec(2, 1, "batch"), 60.0);
    scenario.run(6.0);
    let place = scenario.machines_of(&b).remove(0);
    let attempt = scenario.worker(&place).state.heartbeat();
    // This attempt fails and the next runs.
    let w = scenario.worker(&place);
    let key = w.state.placed().find(|k| k.0.starts_with(&b)).cloned().expect("its task");
    let t = w.state.tasks.get_mut(&key).expect("its task");
    (t.stage, t.exit_reason) = (TaskStage::Exited, Some(ExitReason::Error));
    scenario.run(8.0);
    assert_eq!((scenario.started(&b), scenario.placed(&b)), (2, 1));
    let late = |scenario: &mut Scenario| {
        for r in [&agent_epoch, &attempt, &agent_epoch] {
            let (now, wall) = (at(scenario.seconds), wall(scenario.seconds));
            assert_eq!(scenario.fleet().apply_heartbeat(r, now, wall), HeartbeatOutcome::Refuse);
        }
        scenario.run(3.0);
        assert_eq!(
            (scenario.placed(&a), scenario.placed(&b), scenario.started(&a), scenario.started(&b)),
            (1, 1, 2, 2)
        );
    };
    late(&mut scenario);
    scenario.replace_leader(2.0);
    scenario.run(5.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 0);
    late(&mut scenario);
    scenario.finish(100.0);
    assert_eq!((scenario.started(&a), scenario.started(&b)), (2, 2));
}

/// Combination 3: a transaction without a reply, carried out late. Against an old copy of marks,
/// machines, done ranges or a job's end that undoes a newer write of the same controller, and
/// against a controller that takes its own late write for another's.
#[test]
fn a_transaction_without_a_reply_applied_late_undoes_no_newer_write() {
    let kinds: [(&str, WriteKind); 4] = [
        ("marks", |p| matches!(p, PendingWrite::StartMarks(_))),
        ("machines", |p| matches!(p, PendingWrite::Machines(_))),
        ("done", |p| matches!(p, PendingWrite::Done(..))),
        ("final", |p| matches!(p, PendingWrite::Final(_))),
    ];
    for (kind, of) in kinds {
        // Carried out before the next write of the same key, or after it.
        for (delay, overtaken) in [(0.5, false), (6.0, true)] {
            let mut scenario = Scenario::new();
            scenario.begin_with(&["north", "north"]);
            scenario.leaders[0].lost_reply = Some((delay, of));
            let a = scenario.submit(spec(1, 40, "batch"), 8.0);
            scenario.run_times.insert(format!("{a}/39"), 45.0);
            scenario.run(2.0);
            scenario.add_machine(3, "north");
            let b = scenario.submit(spec(2, 3, "batch"), 9.0);
            while scenario.late_results.is_empty() {
                assert!(scenario.seconds < 200.0, "{kind}: no such write");
                scenario.step();
            }
            assert_eq!(scenario.late_results.len(), 1);
            assert_eq!(
                scenario.late_results[0].is_err(),
                overtaken,
                "{kind}, {delay} s late: {:?}",
                scenario.late_results
            );
            // The leader goes on writing such records itself.
            while scenario.started(&a) < 40 || scenario.placed(&a) > 1 {
                assert!(scenario.seconds < 200.0, "{kind}, {delay} s late: it does not go on");
                scenario.step();
            }
            scenario.add_machine(4, "north");
            let c = scenario.submit(spec(3, 3, "batch"), 9.0);
            scenario.run(8.0);
            assert!(scenario.fleet().machines["i-4"].registered, "{kind}, {delay} s late");
            assert_eq!(scenario.started(&c), 3, "{kind}, {delay} s late");
            // What the next leader finds lets it start nothing that runs.
            scenario.replace_leader(1.0);
            scenario.finish(200.0);
            assert_eq!((scenario.started(&a), scenario.started(&b)), (40, 3), "{kind}, {delay} s late");
        }
    }
}

/// Combination 5: the command that brings a new leader's fencing token is held up, and the machine goes on.
/// Against a start elsewhere before it is heard.
#[test]
fn a_machine_whose_token_command_is_delayed_keeps_its_task() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    let a = scenario.submit(spec(1, 1, "batch"), 60.0);
    scenario.run(5.0);
    let place = scenario.machines_of(&a).remove(0);
    scenario.link(&[&place], Link::Down);
    scenario.replace_leader(1.0);
    let fencing_token = scenario.fleet().fencing_token;
    scenario.run(15.0);
    assert_eq!((scenario.fleet().unacknowledged_machines(), scenario.started(&a)), (1, 1));
    // Executed now. What it returns is held up as well and overtaken by a heartbeat.
    let back = scenario.command(&place, fencing_token, 1);
    scenario.link(&[&place], Link::Up);
    scenario.run(2.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 0);
    let now = at(scenario.seconds);
    assert_eq!(scenario.fleet().apply_direct_command_reply(&back, now), None);
    scenario.run(10.0);
    assert_eq!((scenario.placed(&a), scenario.started(&a)), (1, 1));
    // A command of a leader that has been replaced does nothing and tells it so.
    scenario.replace_leader(1.0);
    scenario.run(4.0);
    let stale = scenario.command(&place, fencing_token, 1);
    let newer = scenario.fleet().fencing_token;
    assert_eq!(
        scenario.leaders[1].controller.fleet.apply_direct_command_reply(&stale, at(scenario.seconds)),
        Some(newer)
    );
    scenario.finish(60.0);
    assert_eq!(scenario.started(&a), 1);
}

/// Combination 5: what a raising command returns was composed while a start was on its way to the
/// machine. Against taking the task for not arrived, since a newer message lacks it.
#[test]
fn the_reply_to_a_delayed_command_does_not_undo_a_start_in_flight() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    scenario.link(&["i-1"], Link::Down);
    scenario.replace_leader(1.0);
    let fencing_token = scenario.fleet().fencing_token;
    // The other machine is full, and partitioned while its tasks end.
    let filler = scenario.submit(spec(2, 4, "batch"), 3.0);
    while scenario.placed(&filler) < 4 {
        assert!(scenario.seconds < 20.0, "the filler does not start");
        scenario.step();
    }
    scenario.link(&["i-2"], Link::Down);
    let a = scenario.submit(spec(1, 1, "batch"), 30.0);
    scenario.run(4.0);
    assert_eq!((scenario.placed(&filler), scenario.started(&a)), (0, 0));
    // It is heard by its own heartbeat; then the task's mark is written.
    let _ = scenario.command("i-1", fencing_token, 1);
    let hear = |scenario: &mut Scenario| {
        scenario.seconds += STEP;
        let (r, now, wall) =
            (scenario.worker("i-1").state.heartbeat(), at(scenario.seconds), wall(scenario.seconds));
        let HeartbeatOutcome::Reply(reply) = scenario.fleet().apply_heartbeat(&r, now, wall) else {
            panic!("no reply")
        };
        scenario.write_records();
        reply
    };
    assert!(hear(&mut scenario).commands.is_empty());
    let reply = hear(&mut scenario);
    assert!(matches!(reply.commands[..], [WorkerCommand::Start { .. }]), "{reply:?}");
    // The held copy of the command comes between the heartbeat and its reply.
    let back = scenario.command("i-1", fencing_token, 1);
    scenario.execute_commands(0, &reply);
    assert_eq!(scenario.placed(&a), 1);
    let now = at(scenario.seconds);
    scenario.fleet().apply_direct_command_reply(&back, now);
    // The other sends its heartbeat first, and has capacity.
    scenario.link(&["i-2"], Link::Up);
    scenario.run(10.0);
    scenario.link(&["i-1"], Link::Up);
    scenario.finish(60.0);
    assert_eq!(scenario.started(&a), 1);
}

/// Combination 11: a heartbeat is held back until a new leader has acted, and arrives there, before or
/// after the machine's newer ones. Against taking a machine for heard, or empty, by what it said to
/// the leader before.
#[test]
fn a_heartbeat_delayed_until_a_new_leader_has_acted_hides_no_running_task() {
    for before_newer in [true, false] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north", "north"]);
        // Nothing is on it yet, says the heartbeat that is held back.
        let held = [scenario.worker("i-1").state.heartbeat(), scenario.worker("i-2").state.heartbeat()];
        let a = scenario.submit(spec(1, 1, "batch"), 50.0);
        scenario.run(5.0);
        let place = scenario.machines_of(&a).remove(0);
        let held = held.into_iter().find(|r| r.machine == place).expect("its report");
        if before_newer {
            scenario.link(&[&place], Link::Down);
        }
        scenario.replace_leader(1.0);
        scenario.run(5.0);
        let unheard = usize::from(before_newer);
        assert_eq!(scenario.fleet().unacknowledged_machines(), unheard);
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        let out = scenario.fleet().apply_heartbeat(&held, now, t);
        if before_newer {
            assert!(!matches!(out, HeartbeatOutcome::Superseded(_)));
        } else {
            assert_eq!(out, HeartbeatOutcome::Refuse);
        }
        scenario.run(10.0);
        assert_eq!(
            (scenario.fleet().unacknowledged_machines(), scenario.started(&a), scenario.placed(&a)),
            (unheard, 1, 1)
        );
        scenario.link(&[&place], Link::Up);
        scenario.finish(60.0);
        assert_eq!(scenario.started(&a), 1);
    }
}

/// Combination 11, for a machine that went meanwhile. Against a late heartbeat that brings it and its task
/// back.
#[test]
fn a_delayed_heartbeat_of_a_machine_returned_meanwhile_brings_nothing_back() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    let empty = [scenario.worker("i-1").state.heartbeat(), scenario.worker("i-2").state.heartbeat()];
    let a = scenario.submit(spec(1, 1, "batch"), 50.0);
    scenario.run(5.0);
    let place = scenario.machines_of(&a).remove(0);
    let empty = empty.into_iter().find(|r| r.machine == place).expect("its report");
    let held = scenario.worker(&place).state.heartbeat();
    scenario.link(&[&place], Link::Down);
    scenario.replace_leader(1.0);
    scenario.run(40.0);
    assert!(!scenario.workers.iter().any(|w| w.state.id == place), "it was fenced");
    assert_eq!((scenario.started(&a), scenario.placed(&a)), (2, 1));
    let late = |scenario: &mut Scenario| {
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        assert_eq!(scenario.fleet().apply_heartbeat(&held, now, t), HeartbeatOutcome::Refuse);
        assert!(!scenario.fleet().machines.contains_key(place.as_str()));
    };
    late(&mut scenario);
    // Nor by one that shows no task.
    let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
    assert_eq!(scenario.fleet().apply_heartbeat(&empty, now, t), HeartbeatOutcome::Refuse);
    // Nor at the next leader, which never knew it.
    scenario.replace_leader(1.0);
    scenario.run(2.0);
    late(&mut scenario);
    scenario.finish(60.0);
    assert_eq!(scenario.started(&a), 2);
}
