//! Cancellations in an outage, with whole controllers in simulated time: the state store refuses the leader
//! alone, another controller confirms a cancellation, then the store is out for all for longer than
//! `cancel_s`, while a worker keeps sending heartbeats. The cancelled tasks must be gone in time whatever
//! other fault comes on top.

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

/// Combination 4: cancelled as the state store refuses the leader alone, and out a second later.
#[test]
fn a_refused_leader_told_by_another_controller_halts_at_once() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    simulation.cancel(1);
    let gone = simulation.outage();
    assert!(
        gone < 5.0,
        "the notice of another controller stops work at the next heartbeat, not after {gone} s"
    );
    // The refused one leads on after the outage: its lease had its full time again.
    assert_eq!(simulation.fencing_tokens(), [Some(1), None, None]);
}

#[test]
fn without_a_notice_from_others_leases_end_in_time() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    // It goes on replying for a while, as long as it may.
    simulation.begin_outage();
    simulation.run(28.0);
    assert_eq!(lock(&simulation.worker).placed(1), 2, "work is not given up sooner than needed");
    let gone = simulation.outage();
    assert!((30.0..47.0).contains(&gone), "gone after {gone} s");
    assert_eq!(simulation.fencing_tokens()[0], Some(1));
}

#[test]
fn a_worker_without_heartbeats_is_halted_by_command() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    simulation.cancel(1);
    lock(&simulation.worker).heartbeats_lost = true;
    simulation.begin_outage();
    let gone = simulation.run_until_tasks_are_gone();
    assert!(gone < 9.0, "its heartbeat is overdue after one and a half, and the halt goes to it: {gone} s");
}

#[test]
fn past_its_staleness_bound_the_leader_still_halts_by_command() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.begin_outage();
    simulation.run(25.0);
    // It replies to nobody any more when the notice comes through at last.
    assert_eq!(lock(&simulation.worker).placed(1), 2);
    let before = simulation.now();
    simulation.partitioned.store(false, Ordering::SeqCst);
    simulation.run_until_tasks_are_gone();
    assert!(simulation.now() - before <= 5 * SECOND, "the tasks end by the notice, not by their lease");
}

#[test]
fn with_several_refused_and_the_notice_delayed_tasks_are_gone_in_time() {
    for seconds_apart in [0.0, 8.0, 60.0] {
        let mut simulation = Simulation::with_an_unannounced_cancellation(&[0, 2]);
        simulation.begin_outage();
        simulation.run(seconds_apart);
        simulation.partitioned.store(false, Ordering::SeqCst);
        simulation.outage();
    }
}

#[test]
fn a_confirming_controller_that_restarts_has_forgotten_and_it_does_not_matter() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.restart(1);
    simulation.partitioned.store(false, Ordering::SeqCst);
    let gone = simulation.outage();
    assert!((20.0..47.0).contains(&gone), "nobody tells the leader; gone after {gone} s");
}

#[test]
fn a_leader_that_restarts_replies_to_nobody_until_it_has_read() {
    let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
    simulation.restart(0);
    simulation.outage();
}

#[test]
fn a_machine_that_freezes_and_goes_on_within_its_lease_is_in_time() {
    for freezes_at in [2.0, 12.0, 20.0] {
        let mut simulation = Simulation::with_an_unannounced_cancellation(&[0]);
        simulation.begin_outage();
        simulation.run(freezes_at);
        let now = simulation.now();
        lock(&simulation.worker).frozen_until = now + 20 * SECOND;
        simulation.run(19.9);
        assert_eq!(lock(&simulation.worker).placed(1), 2, "it does nothing while it hangs");
        simulation.outage();
    }
}

#[test]
fn a_cancellation_whose_transaction_had_no_reply_is_announced_and_in_time() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    lock(&simulation.store).lost_replies = 1;
    simulation.cancel(1);
    assert_eq!(lock(&simulation.store).lost_replies, 0);
    let gone = simulation.outage();
    assert!(gone < 5.0, "whoever confirms tells the others, though its write had no reply: {gone} s");
}

/// Whoever wrote the end may have ended before it could tell anybody; its user asks another.
#[test]
fn a_controller_that_repeats_the_confirmation_tells_the_others_too() {
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

/// A new leader has looked when it claimed; what is confirmed after that it cannot see.
#[test]
fn a_leader_that_was_just_elected_counts_from_its_claim() {
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
    let gone = simulation.outage();
    assert!((20.0..47.0).contains(&gone), "gone after {gone} s");
}

/// Combination 10: the state store refuses the leader alone, then everybody, while users cancel and ask.
/// Nobody gives a reply that is older than another user's, and what is known to be final stays known.
#[test]
fn users_get_consistent_replies_while_the_store_refuses_the_leader_and_then_everybody() {
    let mut simulation = Simulation::new();
    simulation.refuse(&[0]);
    assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000001", "").0, 200, "another replies for it");
    assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000009", "").0, 404);
    // Cancelled through the refused one, which cannot write it: another does.
    simulation.cancel(0);
    simulation.begin_outage();
    for second in 0..40 {
        simulation.run(1.0);
        assert!(second < 3 || lock(&simulation.worker).placed(1) == 0, "the leader was told");
        for i in 0..3 {
            let (status, v) = simulation.call(i, "GET", "/api/jobs/wk-000001", "");
            assert_eq!((status, v["stage"].as_str()), (200, Some("cancelled")), "by c-{i}: {v}");
            assert_eq!(simulation.call(i, "POST", "/api/jobs/wk-000001/withdraw", "{}").0, 200);
            // Whether there is such a job nobody can say.
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

/// Combination 17: a leader loses the state store and the other controllers; workers and users still reach
/// it, and the job is cancelled through the next, whose commands reach the worker or do not.
#[test]
fn a_cancellation_through_the_next_leader_ends_tasks_of_one_partitioned_with_its_workers() {
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
            // The earlier one cannot know, and says so.
            assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000001", "").0, 503);
            assert_eq!(simulation.call(next, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
            if lock(&simulation.worker).placed(1) == 0 {
                break;
            }
        }
        let gone = (simulation.now() - confirmed_at) as f64 / 1e6;
        assert!((least..most).contains(&gone), "gone after {gone} s, commands lost: {commands_lost}");
        // Back in touch it follows the next one.
        simulation.refuse(&[]);
        simulation.partitioned.store(false, Ordering::SeqCst);
        lock(&simulation.worker).commands_lost = false;
        simulation.run(50.0);
        assert_eq!(simulation.fencing_tokens()[0], None);
        assert_eq!(simulation.call(0, "GET", "/api/jobs/wk-000001", "").1["stage"], "cancelled");
    }
}

/// Its lease is renewed while reads fail: only a read shows what was cancelled.
#[test]
fn renewals_without_reads_do_not_keep_store_contact() {
    let mut simulation = Simulation::new();
    simulation.partitioned.store(true, Ordering::SeqCst);
    lock(&simulation.store).reads_refused = true;
    simulation.cancel(1);
    simulation.run(20.0);
    assert_eq!((lock(&simulation.worker).placed(1), simulation.fencing_tokens()[0]), (2, Some(1)));
    let gone = simulation.run_until_tasks_are_gone();
    assert!((30.0..47.0).contains(&gone), "gone after {gone} s");
}

/// The reply to an idle worker's heartbeat may wait for a start; store contact is checked as it leaves.
#[test]
fn a_reply_that_waited_until_store_contact_was_too_old_renews_nothing() {
    let mut simulation = Simulation::new();
    simulation.confirmed_at = None;
    let controller = simulation.controllers()[0].clone();
    let l = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = l.local_addr().expect("an address");
    let n = controller.clone();
    let handler = Arc::new(move |r: Request, reply: Reply| n.serve(&r, reply));
    let service = http::Service { classify: |_| RequestClass::Interactive, handler };
    let limits = ServerLimits {
        connections: 10,
        background_connections: 10,
        interactive_threads: 4,
        background_threads: 1,
    };
    std::thread::spawn(move || http::serve(l, limits, Arc::default(), service));
    // A second machine, idle, is enrolled and shows the fencing token.
    let idle = |sequence: u64| {
        let r = common::heartbeat("i-000002", sequence, u64::from(sequence > 1), &[]);
        serde_json::to_string(&r).expect("a heartbeat")
    };
    assert_eq!(simulation.call(0, "POST", "/checkin", &idle(1)).0, 200);
    simulation.run(2.0);
    assert_eq!(simulation.call(0, "POST", "/checkin", &idle(2)).0, 200);
    let statuses = |simulation: &mut Simulation, sequence: u64, seconds_without_store: f64| {
        lock(&simulation.store).unavailable = true;
        // Nobody but this worker: time passes without the rest of the simulation.
        simulation.clock.fetch_add((seconds_without_store * 1e6) as i64, Ordering::SeqCst);
        let body = idle(sequence);
        let ask = std::thread::spawn(move || {
            Client::new(addr, 0).call("POST", "/checkin", Some(body.as_bytes()), Micros(20 * SECOND))
        });
        let taken = |simulation: &Simulation| {
            let v = simulation.call(0, "GET", "/status", "").1;
            let all = v["owner"]["machines"].as_array().cloned().unwrap_or_default();
            all.iter().any(|m| m["id"] == "i-000002" && m["report_s"].as_f64() == Some(0.0))
        };
        while !taken(simulation) && !ask.is_finished() {
            std::thread::yield_now();
        }
        simulation.clock.fetch_add(3 * SECOND, Ordering::SeqCst);
        controller.plan_once();
        let status = ask.join().expect("no panic").expect("a reply").status;
        let now = simulation.now();
        lock(&simulation.store).end_outage(now);
        simulation.run(5.0);
        status
    };
    assert_eq!(statuses(&mut simulation, 3, 10.0), 200, "within the bound it has a reply");
    assert_eq!(statuses(&mut simulation, 4, 21.0), 503, "the bound was passed while the reply waited");
}
