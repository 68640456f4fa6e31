//! Stored values of the run-time history that this version cannot read.

mod common;

use common::leader_without_copies::MAX_STEPS;
use common::lending_world::{Machine, World, SETTLE_STEPS};
use milletlock::history::BUCKETS;
use milletlock::wire::{Change, Txn};
use serde_json::{json, Value};

/// The stored values of the run-time history.
fn history(world: &World) -> Vec<Value> {
    world.store().rows("hist/").into_iter().map(|row| row.value).collect()
}

/// Guards against overwriting a history that a later version has stored, after the write of another value was
/// refused.
#[test]
fn a_history_that_cannot_be_read_is_not_overwritten() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let later_value = json!({ "form": 2 });
    let then =
        (0..BUCKETS).map(|bucket| Change::put(format!("hist/{bucket}"), later_value.clone())).collect();
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    let mut leader = world.leader();
    leader.submit();
    for _ in 0..MAX_STEPS {
        leader.steps(&mut machine, 2);
        machine.finish_all();
        if leader.stage() == "done" {
            break;
        }
    }
    assert_eq!(leader.stage(), "done");
    leader.steps(&mut machine, 2 * SETTLE_STEPS);
    assert_eq!(history(&world), vec![later_value; BUCKETS as usize]);
}
