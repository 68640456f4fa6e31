//! Cancellations during an outage of the state store, with complete controllers in simulated time. First the
//! state store refuses only the leader, and another controller confirms a cancellation. Then the state store
//! is unavailable to all controllers for longer than `cancel_s`, while a worker keeps sending heartbeats. The
//! cancelled tasks must end within the cancellation deadline, whatever other fault occurs as well.
//!
//! The numbers of combinations are those of the table in docs/safety.md.

#[path = "../common/mod.rs"]
mod common;
mod scale_in;
mod simulation;
mod state_store;
mod worker;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use milletlock::http;
use milletlock::http::{Client, Reply, Request, RequestClass, ServerLimits};
use milletlock::time::Micros;
use serde_json::json;
use simulation::{lock, Simulation, CANCEL_DEADLINE, SECOND};

use crate::common::spec;

/// Combination 4: a job is cancelled while the state store refuses only the leader. The state store is
/// unavailable to all controllers 1.5 s later.
#[test]
fn a_leader_without_the_store_halts_tasks_at_once_when_another_controller_notifies_it() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    simulation.cancel(1);
    let ended_after_s = simulation.outage();
    assert!(
        ended_after_s < 5.0,
        "another controller's notice must stop the tasks at the next heartbeat, not after {ended_after_s} s"
    );
    // The refused controller still leads after the outage, because its lease then had its full duration
    // again.
    assert_eq!(simulation.fencing_tokens(), [Some(1), None, None]);
}

#[test]
fn without_a_notice_the_workers_lease_expires_within_the_cancellation_deadline() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    // The leader replies to heartbeats for as long as it may without contact with the state store.
    simulation.begin_outage();
    simulation.run(28.0);
    assert_eq!(lock(&simulation.worker).placed(1), 2, "the tasks must not end sooner than necessary");
    let ended_after_s = simulation.outage();
    assert!((30.0..47.0).contains(&ended_after_s), "the tasks ended after {ended_after_s} s");
    assert_eq!(simulation.fencing_tokens()[0], Some(1));
}

#[test]
fn a_worker_whose_heartbeats_are_lost_is_halted_by_a_direct_command() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    simulation.cancel(1);
    lock(&simulation.worker).heartbeats_lost = true;
    simulation.begin_outage();
    let ended_after_s = simulation.run_until_tasks_are_gone();
    assert!(
        ended_after_s < 9.0,
        "a halt must be sent once a heartbeat is overdue; the tasks ended after {ended_after_s} s"
    );
}

#[test]
fn a_leader_past_its_staleness_bound_still_halts_tasks_by_direct_command() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.begin_outage();
    simulation.run(25.0);
    // When the notice arrives, the leader no longer replies to heartbeats.
    assert_eq!(lock(&simulation.worker).placed(1), 2);
    let before = simulation.now();
    simulation.partitioned.store(false, Ordering::SeqCst);
    simulation.run_until_tasks_are_gone();
    assert!(
        simulation.now() - before <= 5 * SECOND,
        "the notice must end the tasks, not the expiry of the lease"
    );
}

#[test]
fn tasks_end_in_time_when_several_controllers_are_refused_and_the_notice_is_delayed() {
    for seconds_apart in [0.0, 8.0, 60.0] {
        let mut simulation = Simulation::with_an_unannounced_cancellation(&[0, 2]);
        simulation.begin_outage();
        simulation.run(seconds_apart);
        simulation.partitioned.store(false, Ordering::SeqCst);
        simulation.outage();
    }
}

#[test]
fn tasks_end_in_time_when_the_confirming_controller_restarts_and_loses_its_notices() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.restart(1);
    simulation.partitioned.store(false, Ordering::SeqCst);
    let ended_after_s = simulation.outage();
    assert!(
        (20.0..47.0).contains(&ended_after_s),
        "no controller notifies the leader; the tasks ended after {ended_after_s} s"
    );
}

/// A leader that restarts replies to no heartbeat until it has read the records again.
#[test]
fn tasks_end_in_time_when_the_refused_leader_restarts() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.restart(0);
    simulation.outage();
}

#[test]
fn tasks_end_in_time_on_a_machine_that_freezes_and_resumes_within_its_lease() {
    for freezes_at in [2.0, 12.0, 20.0] {
        let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
        simulation.begin_outage();
        simulation.run(freezes_at);
        let now = simulation.now();
        lock(&simulation.worker).frozen_until = now + 20 * SECOND;
        simulation.run(19.9);
        assert_eq!(lock(&simulation.worker).placed(1), 2, "a frozen machine must not change its tasks");
        simulation.outage();
    }
}

#[test]
fn a_cancellation_whose_transaction_had_no_reply_is_announced_to_the_others() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    lock(&simulation.store).lost_replies = 1;
    simulation.cancel(1);
    assert_eq!(lock(&simulation.store).lost_replies, 0);
    let ended_after_s = simulation.outage();
    assert!(
        ended_after_s < 5.0,
        "the confirming controller must notify the others; the tasks ended after {ended_after_s} s"
    );
}

/// The controller that wrote the final record may have stopped before it could notify the others. The user
/// then sends the cancellation to another controller.
#[test]
fn a_controller_that_confirms_a_cancellation_again_notifies_the_others() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.restart(1);
    simulation.partitioned.store(false, Ordering::SeqCst);
    simulation.run(0.5);
    assert_eq!(lock(&simulation.worker).placed(1), 2);
    let confirmed_at = simulation.confirmed_at;
    simulation.cancel(2);
    simulation.confirmed_at = confirmed_at;
    assert!(simulation.outage() < 6.0);
}

/// A new leader has read the records when it was elected. If it cannot read them again, it cannot see
/// cancellations that are confirmed later.
#[test]
fn the_store_contact_of_a_new_leader_counts_from_its_election() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    simulation.run_until("another leads", |simulation| {
        simulation.fencing_tokens()[1..].iter().any(Option::is_some)
    });
    simulation
        .run_until("the worker follows it", |simulation| lock(&simulation.worker).state.fencing_token == 2);
    simulation.refuse(&[]);
    simulation.run(2.0);
    let leader = simulation.fencing_tokens().iter().position(|t| *t == Some(2)).expect("a leader");
    simulation.partitioned.store(true, Ordering::SeqCst);
    lock(&simulation.store).refused = [leader].into();
    simulation.cancel((leader + 1) % 3);
    let ended_after_s = simulation.outage();
    assert!((20.0..47.0).contains(&ended_after_s), "the tasks ended after {ended_after_s} s");
}

/// Combination 10: the state store refuses only the leader, then all controllers, while users cancel a job
/// and request its status. No reply may be older than one that another user has received, and a known final
/// state stays known.
#[test]
fn users_get_consistent_replies_while_the_store_refuses_the_leader_and_then_all_controllers() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    assert_eq!(
        simulation.call(0, "GET", "/api/jobs/wk-000001", "").0,
        200,
        "another controller must answer the relayed request"
    );
    assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000009", "").0, 404);
    // The user cancels through the refused controller. It cannot write the cancellation, so another one does.
    simulation.cancel(0);
    simulation.begin_outage();
    for second in 0..40 {
        simulation.run(1.0);
        assert!(
            second < 3 || lock(&simulation.worker).placed(1) == 0,
            "the leader must have received the notice"
        );
        for i in 0..3 {
            let (status, v) = simulation.call(i, "GET", "/api/jobs/wk-000001", "");
            assert_eq!((status, v["stage"].as_str()), (200, Some("cancelled")), "by c-{i}: {v}");
            assert_eq!(simulation.call(i, "POST", "/api/jobs/wk-000001/withdraw", "{}").0, 200);
            // No controller can find out whether this job exists.
            assert_eq!(simulation.call(i, "GET", "/api/jobs/wk-000009", "").0, 503);
            assert_eq!(
                simulation.call(i, "POST", "/api/jobs", &json!(spec(9, 1, "batch")).to_string()).0,
                503
            );
        }
    }
    simulation.outage();
    assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000009", "").0, 404);
}

/// Combination 17: a leader loses the state store and the other controllers, while workers and users still
/// reach it. The job is cancelled through the next leader, whose direct commands reach the worker in one case
/// and are lost in the other.
#[test]
fn a_cancellation_through_the_next_leader_ends_the_tasks_of_a_leader_partitioned_with_its_workers() {
    for (commands_lost, least, most) in [(false, 0.0, 12.0), (true, 12.0, 47.0)] {
        let mut simulation = Simulation::new();
        simulation.partitioned.store(true, Ordering::SeqCst);
        simulation.refuse(&[0]);
        lock(&simulation.worker).commands_lost = commands_lost;
        simulation
            .run_until("another leads", |simulation| simulation.fencing_tokens()[1..].contains(&Some(2)));
        let next = simulation.fencing_tokens().iter().position(|t| *t == Some(2)).expect("a leader");
        simulation.cancel(next);
        let confirmed_at = simulation.confirmed_at.expect("a confirmation");
        while simulation.now() < confirmed_at + CANCEL_DEADLINE {
            simulation.step();
            // The earlier leader cannot know the job's stage and must answer 503.
            assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000001", "").0, 503);
            assert_eq!(simulation.call(next, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
            if lock(&simulation.worker).placed(1) == 0 {
                break;
            }
        }
        let ended_after_s = (simulation.now() - confirmed_at) as f64 / 1e6;
        assert!(
            (least..most).contains(&ended_after_s),
            "the tasks ended after {ended_after_s} s; commands lost: {commands_lost}"
        );
        // Once the earlier leader reaches the others again, it must follow the next leader.
        simulation.refuse(&[]);
        simulation.partitioned.store(false, Ordering::SeqCst);
        lock(&simulation.worker).commands_lost = false;
        simulation.run(50.0);
        assert_eq!(simulation.fencing_tokens()[0], None);
        assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
    }
}

/// The leader's lease is renewed while its reads fail. Only a read would show it the cancellation.
#[test]
fn lease_renewals_without_reads_do_not_count_as_store_contact() {
    let mut simulation = Simulation::new();
    simulation.partitioned.store(true, Ordering::SeqCst);
    lock(&simulation.store).reads_refused = true;
    simulation.cancel(1);
    simulation.run(20.0);
    assert_eq!((lock(&simulation.worker).placed(1), simulation.fencing_tokens()[0]), (2, Some(1)));
    let ended_after_s = simulation.run_until_tasks_are_gone();
    assert!((30.0..47.0).contains(&ended_after_s), "the tasks ended after {ended_after_s} s");
}

/// The reply to an idle worker's heartbeat may be deferred until there is a task to start. The leader's
/// contact with the state store must be checked when the reply is sent.
#[test]
fn a_deferred_reply_is_refused_once_store_contact_is_too_old() {
    let mut simulation = Simulation::new();
    simulation.confirmed_at = None;
    let controller = simulation.controllers()[0].clone();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let server_controller = controller.clone();
    let handler = Arc::new(move |request: Request, reply: Reply| server_controller.serve(&request, reply));
    let service = http::Service { classify: |_| RequestClass::Interactive, handler };
    let limits = ServerLimits {
        connections: 10,
        background_connections: 10,
        interactive_threads: 4,
        background_threads: 1,
    };
    std::thread::spawn(move || http::serve(listener, limits, Arc::default(), service));
    // A second machine, which is idle, sends its first heartbeat and then one with the leader's fencing
    // token.
    let idle = |sequence: u64| {
        let heartbeat = common::heartbeat("i-000002", sequence, u64::from(sequence > 1), &[]);
        serde_json::to_string(&heartbeat).expect("a heartbeat")
    };
    assert_eq!(simulation.call(0, "POST", "/checkin", &idle(1)).0, 200);
    simulation.run(2.0);
    assert_eq!(simulation.call(0, "POST", "/checkin", &idle(2)).0, 200);
    let statuses = |simulation: &mut Simulation, sequence: u64, seconds_without_store: f64| {
        lock(&simulation.store).unavailable = true;
        // The time is advanced directly, without steps of the simulation, so that only this worker acts.
        simulation.clock.fetch_add((seconds_without_store * 1e6) as i64, Ordering::SeqCst);
        let body = idle(sequence);
        let heartbeat_sender = std::thread::spawn(move || {
            Client::new(addr, 0).call("POST", "/checkin", Some(body.as_bytes()), Micros(20 * SECOND))
        });
        let is_received = |simulation: &Simulation| {
            let v = simulation.call(0, "GET", "/status", "").1;
            let all = v["owner"]["machines"].as_array().cloned().unwrap_or_default();
            all.iter().any(|m| m["id"] == "i-000002" && m["report_s"].as_f64() == Some(0.0))
        };
        while !is_received(simulation) && !heartbeat_sender.is_finished() {
            std::thread::yield_now();
        }
        simulation.clock.fetch_add(3 * SECOND, Ordering::SeqCst);
        controller.plan_once();
        let status = heartbeat_sender.join().expect("no panic").expect("a reply").status;
        let now = simulation.now();
        lock(&simulation.store).end_outage(now);
        simulation.run(5.0);
        status
    };
    assert_eq!(statuses(&mut simulation, 3, 10.0), 200, "within the staleness bound the reply must be sent");
    assert_eq!(
        statuses(&mut simulation, 4, 21.0),
        503,
        "the staleness bound has passed while the reply was deferred"
    );
}
