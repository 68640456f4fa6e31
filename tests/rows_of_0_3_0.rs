//! Tests with the rows of a job with loans that the real program of the last commit of 0.3.0 left in the
//! state store. A leader or a follower of this version must secure the job's progress before a version before
//! 0.3 leads, since that version removes the progress of a job whose record it cannot read.

mod common;

use common::lending_world::{Machine, World, JOB, SETTLE_STEPS};
use common::production;
use common::production_leader::ProductionLeader;
use milletlock::wire::{Change, Txn};
use serde_json::Value;

/// The rows as the program of 0.3.0 wrote them, with sorted keys.
const ROWS: [(&str, &str); 3] = [
    (
        "job/wk-000001",
        r#"{"high":24,"lending":{"cancelling":false,"loans":[{"guest":"cell-1","number":2097153,"tasks":"180-239"},{"guest":"cell-1","number":2097154,"tasks":"164-179"},{"guest":"cell-1","number":2097155,"tasks":"152-163"}]},"spec_of_lent":{"cards":0.0,"cpus":1.0,"expectS":2.0,"gleanings":false,"grain":"any","kernels":240,"nameId":"wk-000001","oneZone":false,"owner":"free","pullGb":0.5,"ramGb":1.0,"rank":"normal","seed":"img","shape":"batch","spread":false,"stashEveryS":0.0,"stashS":0.0},"submitted_us":1796312092051021}"#,
    ),
    ("done/wk-000001/4161536", r#""0-31""#),
    ("marks/0", r#"{"wk-000001":44}"#),
];
/// The start mark in `ROWS`.
const START_MARK: u64 = 44;

/// A cell whose state store has `ROWS`.
fn world_of_0_3_0() -> World {
    let world = World::new();
    let put = |(key, text): &(&str, &str)| {
        let value: Value = serde_json::from_str(text).expect("JSON");
        Change::put((*key).to_string(), value)
    };
    let then = ROWS.iter().map(put).collect();
    world.store().txn(&Txn { guards: Vec::new(), then }).expect("written");
    world
}

/// The start mark that remains after a leader of a version before 0.3: the higher one of its copy and of the
/// mark in the job's record.
fn lasting_start_mark(world: &World) -> u64 {
    let record = world.store().row(&format!("job/{JOB}")).expect("the job").value;
    world.copied_mark().max(record["high"].as_u64().unwrap_or(0))
}

/// Guards against progress that a version before 0.3 removes although a leader of this version led in
/// between.
#[test]
fn a_version_before_0_3_reads_the_job_after_a_leader_of_this_version() {
    let world = world_of_0_3_0();
    let mut machine = Machine::new("i-000001");
    let mut leader = world.leader();
    leader.steps(&mut machine, SETTLE_STEPS);
    leader.lend();
    leader.steps(&mut machine, SETTLE_STEPS);
    let done = production::tasks_of_text("0-31");
    assert!(world.copied_done().is_superset(&done), "{:?}", world.copied_done());
    assert!(lasting_start_mark(&world) >= START_MARK);
    let mut earlier = ProductionLeader::elected(&world);
    earlier.steps(&mut machine, SETTLE_STEPS);
    assert!(earlier.knows(JOB));
    assert!(world.recorded_done().is_superset(&done), "{:?}", world.recorded_done());
}

/// Guards against progress that a version before 0.3 removes although a controller of this version followed
/// the leader of 0.3.0.
#[test]
fn a_follower_of_this_version_copies_the_progress_that_0_3_0_wrote() {
    let world = world_of_0_3_0();
    let mut follower = world.follower();
    world.elect_earlier_leader();
    follower.receive_leader_announcement("0.3.0");
    follower.keep_progress();
    assert_eq!(world.copied_done(), production::tasks_of_text("0-31"));
    assert!(lasting_start_mark(&world) >= START_MARK);
}
