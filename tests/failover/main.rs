//! Failovers in random simulations. Leaders are replaced while earlier ones still reply. Messages are lost,
//! late or duplicated. Transactions have no reply or are applied late. Workers are partitioned, lose
//! heartbeats or replies, or freeze. Machines are returned to the cloud. Leaders lose the state store but not
//! their workers. The simulation checks the invariants at every step, from the state of the workers and of
//! the state store.

#[path = "../common/mod.rs"]
mod common;
mod faults;
mod simulation;

use faults::{Faults, ALL, COMMON, SHORT};
use simulation::simulate_all;

#[test]
fn invariants_hold_with_lost_late_and_duplicate_messages() {
    simulate_all(1..=12, 0, &COMMON);
}

#[test]
fn invariants_hold_with_late_transactions_during_failovers() {
    let faults = Faults { late_writes: 0.3, failover: 0.012, cancel: 0.01, ..SHORT };
    simulate_all(101..=124, 5, &faults);
}

#[test]
fn invariants_hold_with_duplicate_heartbeats_after_new_sessions_attempts_and_failovers() {
    let faults =
        Faults { duplicate_heartbeats: 0.3, replies_lost: 0.01, failover: 0.012, slow_replies: 0.1, ..SHORT };
    simulate_all(201..=224, 50, &faults);
}

#[test]
fn invariants_hold_when_delayed_heartbeats_arrive_after_a_failover() {
    let faults =
        Faults { delayed_heartbeats: 0.15, failover: 0.015, token_commands: 0.2, slow_replies: 0.1, ..SHORT };
    simulate_all(301..=324, 10, &faults);
}

#[test]
fn invariants_hold_with_lost_replies_during_failovers_and_cancellations() {
    let faults = Faults {
        replies_lost: 0.02,
        failover: 0.01,
        cancel_on_faulty_machine: 0.3,
        longest_task_s: 100.0,
        ..SHORT
    };
    simulate_all(401..=424, 5, &faults);
}

#[test]
fn invariants_hold_with_lost_heartbeats_during_failovers_and_cancellations() {
    let faults = Faults {
        heartbeats_lost: 0.02,
        failover: 0.01,
        cancel_on_faulty_machine: 0.3,
        longest_task_s: 100.0,
        ..SHORT
    };
    simulate_all(501..=524, 5, &faults);
}

#[test]
fn invariants_hold_with_frozen_machines_and_late_commands_during_failovers_and_cancellations() {
    let faults = Faults {
        frozen: 0.02,
        slow_commands: 0.5,
        slow_replies: 0.1,
        failover: 0.012,
        cancel_on_faulty_machine: 0.3,
        longest_task_s: 100.0,
        ..SHORT
    };
    simulate_all(601..=624, 5, &faults);
}

#[test]
fn invariants_hold_with_ten_failovers_in_two_minutes_and_a_team_at_its_limit() {
    let faults = Faults { failover_every_s: Some(12.0), slow_commands: 0.2, heartbeats_lost: 0.005, ..SHORT };
    simulate_all(701..=724, 10, &faults);
}

#[test]
fn invariants_hold_when_jobs_are_cancelled_beside_a_leader_without_the_state_store() {
    let faults = Faults {
        store_lost: 0.01,
        cloud_unavailable: true,
        token_commands: 0.0005,
        cancel_on_faulty_machine: 0.5,
        longest_task_s: 150.0,
        failover: 0.0,
        ..SHORT
    };
    simulate_all(801..=824, 1, &faults);
}

#[test]
fn invariants_hold_when_a_leader_without_the_state_store_replies_for_longer_than_a_lease() {
    let faults = Faults {
        cancel_s: 100.0,
        store_lost: 0.01,
        token_commands: 0.002,
        cancel_on_faulty_machine: 0.3,
        longest_task_s: 150.0,
        failover: 0.0,
        ..SHORT
    };
    simulate_all(1201..=1224, 1, &faults);
}

#[test]
fn invariants_hold_when_a_zone_is_partitioned_with_a_leader_that_replies_for_longer_than_a_lease() {
    let faults = Faults { cancel_s: 100.0, steps: 1000, partition: true, longest_task_s: 100.0, ..SHORT };
    simulate_all(1301..=1324, 0, &faults);
}

#[test]
fn invariants_hold_with_cancellations_in_an_outage_that_first_affects_only_the_leader() {
    let faults = Faults {
        store_lost: 0.01,
        store_outage: 0.8,
        cancel_on_faulty_machine: 0.5,
        longest_task_s: 150.0,
        failover: 0.0,
        ..SHORT
    };
    simulate_all(901..=924, 1, &faults);
}

#[test]
fn invariants_hold_with_long_tasks_and_no_leader_for_longer_than_a_lease() {
    let faults = Faults {
        no_leader: 0.006,
        cancel_on_faulty_machine: 0.2,
        longest_task_s: 100.0,
        duplicate_heartbeats: 0.1,
        ..SHORT
    };
    simulate_all(1001..=1024, 1, &faults);
}

#[test]
fn invariants_hold_with_cancellations_at_the_end_of_the_last_task() {
    let faults = Faults { cancel_at_end: 0.5, late_writes: 0.2, failover: 0.01, ..SHORT };
    simulate_all(1101..=1124, 2, &faults);
}

#[test]
fn invariants_hold_under_all_faults_combined() {
    simulate_all(2001..=2024, 20, &ALL);
}

#[test]
fn invariants_hold_under_all_faults_combined_with_a_long_cancellation_deadline() {
    simulate_all(2101..=2124, 20, &Faults { cancel_s: 100.0, token_commands: 0.02, ..ALL });
}

/// A leader replies to a heartbeat of a machine that has not seen the leader's fencing token, and the reply
/// is lost. The machine is then partitioned together with an earlier leader, which renews the machine's
/// lease. At last a direct command takes the new fencing token to the machine. The new leader must not count
/// the machine's lease from its first reply.
#[test]
fn a_lease_is_not_counted_from_a_reply_before_the_fencing_token_arrived() {
    simulate_all(110024..=110024, 0, &COMMON);
}
