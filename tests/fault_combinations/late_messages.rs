//! Combinations 2, 3, 5 and 11: messages and transactions that arrive late, after newer ones.

use milletlock::fleet::{HeartbeatOutcome, PendingWrite};
use milletlock::wire::{ExitReason, TaskStage, WorkerCommand};

use crate::common::clock::{at, wall};
use crate::common::spec;
use crate::scenario::{Link, Scenario, WriteKind, STEP};

/// Combination 2: old heartbeats, from an earlier session and from the time of an earlier attempt, arrive
/// after newer ones, first at the leader and then at the next leader. Guards against an old heartbeat that
/// makes an ended task count as running, or a running task as ended.
#[test]
fn old_heartbeats_of_earlier_sessions_and_attempts_are_refused_after_newer_ones() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    let a = scenario.submit(spec(1, 1, "batch"), 60.0);
    scenario.run(4.0);
    let first = scenario.machines_of(&a).remove(0);
    let session_heartbeat = scenario.worker(&first).state.heartbeat();
    // The worker's lease expires while it is unreachable, and the task starts on the other machine.
    scenario.link(&[&first], Link::Down);
    scenario.run(30.0);
    assert_eq!((scenario.started(&a), scenario.worker(&first).state.agent_epoch), (2, 2));
    let second = scenario.machines_of(&a).remove(0);
    assert_ne!(first, second);
    scenario.link(&[&first], Link::Up);
    let b = scenario.submit(spec(2, 1, "batch"), 60.0);
    scenario.run(6.0);
    let place = scenario.machines_of(&b).remove(0);
    let attempt_heartbeat = scenario.worker(&place).state.heartbeat();
    // This attempt fails and the next attempt runs.
    let w = scenario.worker(&place);
    let key = w.state.placed().find(|k| k.0.starts_with(&b)).cloned().expect("its task");
    let t = w.state.tasks.get_mut(&key).expect("its task");
    (t.stage, t.exit_reason) = (TaskStage::Exited, Some(ExitReason::Error));
    scenario.run(8.0);
    assert_eq!((scenario.started(&b), scenario.placed(&b)), (2, 1));
    let deliver_late = |scenario: &mut Scenario| {
        for heartbeat in [&session_heartbeat, &attempt_heartbeat, &session_heartbeat] {
            let (now, wall) = (at(scenario.seconds), wall(scenario.seconds));
            assert_eq!(scenario.fleet().apply_heartbeat(heartbeat, now, wall), HeartbeatOutcome::Refuse);
        }
        scenario.run(3.0);
        assert_eq!(
            (scenario.placed(&a), scenario.placed(&b), scenario.started(&a), scenario.started(&b)),
            (1, 1, 2, 2)
        );
    };
    deliver_late(&mut scenario);
    scenario.replace_leader(2.0);
    scenario.run(5.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 0);
    deliver_late(&mut scenario);
    scenario.finish(100.0);
    assert_eq!((scenario.started(&a), scenario.started(&b)), (2, 2));
}

/// Combination 3: a transaction gets no reply and is applied late. Guards against old start marks, machines,
/// done ranges or a job's final stage that overwrite a newer write of the same controller. Also guards
/// against a controller that takes its own late write for the write of another controller.
#[test]
fn a_transaction_without_a_reply_applied_late_undoes_no_newer_write() {
    let kinds: [(&str, WriteKind); 4] = [
        ("marks", |p| matches!(p, PendingWrite::StartMarks(_))),
        ("machines", |p| matches!(p, PendingWrite::Machines(_))),
        ("done", |p| matches!(p, PendingWrite::Done(..))),
        ("final", |p| matches!(p, PendingWrite::Final(_))),
    ];
    for (kind, is_kind) in kinds {
        // The late transaction is applied before the next write of the same key, or after it.
        for (delay, overtaken) in [(0.5, false), (6.0, true)] {
            let mut scenario = Scenario::new();
            scenario.begin_with(&["north", "north"]);
            scenario.leaders[0].lost_reply = Some((delay, is_kind));
            let a = scenario.submit(spec(1, 40, "batch"), 8.0);
            scenario.run_times.insert(format!("{a}/39"), 45.0);
            scenario.run(2.0);
            scenario.add_machine(3, "north");
            let b = scenario.submit(spec(2, 3, "batch"), 9.0);
            while scenario.late_results.is_empty() {
                assert!(scenario.seconds < 200.0, "{kind}: there was no such write");
                scenario.step();
            }
            assert_eq!(scenario.late_results.len(), 1);
            assert_eq!(
                scenario.late_results[0].is_err(),
                overtaken,
                "{kind}, {delay} s late: {:?}",
                scenario.late_results
            );
            // The leader must continue to write such records.
            while scenario.started(&a) < 40 || scenario.placed(&a) > 1 {
                assert!(scenario.seconds < 200.0, "{kind}, {delay} s late: the array must continue");
                scenario.step();
            }
            scenario.add_machine(4, "north");
            let c = scenario.submit(spec(3, 3, "batch"), 9.0);
            scenario.run(8.0);
            assert!(scenario.fleet().machines["i-4"].registered, "{kind}, {delay} s late");
            assert_eq!(scenario.started(&c), 3, "{kind}, {delay} s late");
            // From the records in the state store, the next leader must start no task that still runs.
            scenario.replace_leader(1.0);
            scenario.finish(200.0);
            assert_eq!((scenario.started(&a), scenario.started(&b)), (40, 3), "{kind}, {delay} s late");
        }
    }
}

/// Combination 5: the command with a new leader's fencing token is delayed, and the machine continues to run
/// its task. Guards against starting the task elsewhere before the machine has acknowledged the token.
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
    // The worker executes the command now. The reply is delayed as well, and a heartbeat arrives before it.
    let command_reply = scenario.command(&place, fencing_token, 1);
    scenario.link(&[&place], Link::Up);
    scenario.run(2.0);
    assert_eq!(scenario.fleet().unacknowledged_machines(), 0);
    let now = at(scenario.seconds);
    assert_eq!(scenario.fleet().apply_direct_command_reply(&command_reply, now), None);
    scenario.run(10.0);
    assert_eq!((scenario.placed(&a), scenario.started(&a)), (1, 1));
    // A command of a leader that has been replaced does nothing, and its reply contains the newer token.
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

/// Combination 5: a worker replies to a command with a new fencing token while a start command is on its way
/// to the worker. Guards against the leader concluding that the start was lost, because the newer message
/// does not contain the task.
#[test]
fn the_reply_to_a_delayed_command_does_not_undo_a_start_in_flight() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    scenario.link(&["i-1"], Link::Down);
    scenario.replace_leader(1.0);
    let fencing_token = scenario.fleet().fencing_token;
    // The other machine is full, and becomes unreachable until its tasks have ended.
    let filler = scenario.submit(spec(2, 4, "batch"), 3.0);
    while scenario.placed(&filler) < 4 {
        assert!(scenario.seconds < 20.0, "the filler does not start");
        scenario.step();
    }
    scenario.link(&["i-2"], Link::Down);
    let a = scenario.submit(spec(1, 1, "batch"), 30.0);
    scenario.run(4.0);
    assert_eq!((scenario.placed(&filler), scenario.started(&a)), (0, 0));
    // The worker acknowledges the token with a heartbeat of its own. Then the task's start mark is written.
    let _ = scenario.command("i-1", fencing_token, 1);
    let exchange_heartbeat = |scenario: &mut Scenario| {
        scenario.seconds += STEP;
        let (r, now, wall) =
            (scenario.worker("i-1").state.heartbeat(), at(scenario.seconds), wall(scenario.seconds));
        let HeartbeatOutcome::Reply(reply) = scenario.fleet().apply_heartbeat(&r, now, wall) else {
            panic!("no reply")
        };
        scenario.write_records();
        reply
    };
    assert!(exchange_heartbeat(&mut scenario).commands.is_empty());
    let reply = exchange_heartbeat(&mut scenario);
    assert!(matches!(reply.commands[..], [WorkerCommand::Start { .. }]), "{reply:?}");
    // The delayed copy of the command arrives between the heartbeat and the reply to it.
    let command_reply = scenario.command("i-1", fencing_token, 1);
    scenario.execute_commands(0, &reply);
    assert_eq!(scenario.placed(&a), 1);
    let now = at(scenario.seconds);
    scenario.fleet().apply_direct_command_reply(&command_reply, now);
    // The other worker, which has free capacity, sends its heartbeat first.
    scenario.link(&["i-2"], Link::Up);
    scenario.run(10.0);
    scenario.link(&["i-1"], Link::Up);
    scenario.finish(60.0);
    assert_eq!(scenario.started(&a), 1);
}

/// Combination 11: a heartbeat to the earlier leader is delayed and arrives at the new leader, before or
/// after newer heartbeats of the machine. Guards against the new leader taking the machine for acknowledged,
/// or for empty, because of that heartbeat.
#[test]
fn a_heartbeat_delayed_until_a_new_leader_has_acted_hides_no_running_task() {
    for before_newer in [true, false] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north", "north"]);
        // The delayed heartbeat was sent before the machine got a task.
        let delayed = [scenario.worker("i-1").state.heartbeat(), scenario.worker("i-2").state.heartbeat()];
        let a = scenario.submit(spec(1, 1, "batch"), 50.0);
        scenario.run(5.0);
        let place = scenario.machines_of(&a).remove(0);
        let delayed = delayed.into_iter().find(|r| r.machine == place).expect("its heartbeat");
        if before_newer {
            scenario.link(&[&place], Link::Down);
        }
        scenario.replace_leader(1.0);
        scenario.run(5.0);
        let unacknowledged = usize::from(before_newer);
        assert_eq!(scenario.fleet().unacknowledged_machines(), unacknowledged);
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        let out = scenario.fleet().apply_heartbeat(&delayed, now, t);
        if before_newer {
            assert!(!matches!(out, HeartbeatOutcome::Superseded(_)));
        } else {
            assert_eq!(out, HeartbeatOutcome::Refuse);
        }
        scenario.run(10.0);
        assert_eq!(
            (scenario.fleet().unacknowledged_machines(), scenario.started(&a), scenario.placed(&a)),
            (unacknowledged, 1, 1)
        );
        scenario.link(&[&place], Link::Up);
        scenario.finish(60.0);
        assert_eq!(scenario.started(&a), 1);
    }
}

/// Combination 11: a heartbeat is delayed until its machine has been returned to the cloud. Guards against a
/// leader that adds the machine and its task again.
#[test]
fn a_delayed_heartbeat_of_a_machine_returned_meanwhile_brings_nothing_back() {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "north"]);
    let empty = [scenario.worker("i-1").state.heartbeat(), scenario.worker("i-2").state.heartbeat()];
    let a = scenario.submit(spec(1, 1, "batch"), 50.0);
    scenario.run(5.0);
    let place = scenario.machines_of(&a).remove(0);
    let empty = empty.into_iter().find(|r| r.machine == place).expect("its heartbeat");
    let delayed = scenario.worker(&place).state.heartbeat();
    scenario.link(&[&place], Link::Down);
    scenario.replace_leader(1.0);
    scenario.run(40.0);
    assert!(
        !scenario.workers.iter().any(|w| w.state.id == place),
        "the machine must have been returned to the cloud"
    );
    assert_eq!((scenario.started(&a), scenario.placed(&a)), (2, 1));
    let deliver_late = |scenario: &mut Scenario| {
        let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
        assert_eq!(scenario.fleet().apply_heartbeat(&delayed, now, t), HeartbeatOutcome::Refuse);
        assert!(!scenario.fleet().machines.contains_key(place.as_str()));
    };
    deliver_late(&mut scenario);
    // A late heartbeat without a task does not add the machine either.
    let (now, t) = (at(scenario.seconds), wall(scenario.seconds));
    assert_eq!(scenario.fleet().apply_heartbeat(&empty, now, t), HeartbeatOutcome::Refuse);
    // The next leader, which never knew the machine, does not add it either.
    scenario.replace_leader(1.0);
    scenario.run(2.0);
    deliver_late(&mut scenario);
    scenario.finish(60.0);
    assert_eq!(scenario.started(&a), 2);
}
