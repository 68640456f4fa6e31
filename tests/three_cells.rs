//! Three cells of the real program on loopback, one of them flooded. Every task finishes exactly once, in
//! the only cell where it ever began, and no gang is split, whatever happens to controllers and links.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::cells::{until, CellPlan, Cells};
use common::spec;
use serde_json::{json, Value};

/// Arrays that flood a cell.
const ARRAYS: u32 = 3;
/// Tasks of each.
const TASKS: u32 = 60;
/// The workers' `cancel_s` in these cells.
const CANCEL_S: u64 = 8;

/// A job of tasks that are stated to run for two seconds.
fn job(number: u32, tasks: u32, shape: &str) -> Value {
    let mut job = json!(spec(number, tasks, shape));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    job
}

fn id(number: u32) -> String {
    spec(number, 1, "batch").id
}

/// A small cell, and two larger ones with room.
fn plans() -> [CellPlan; 3] {
    let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, ..CellPlan::default() };
    [plan(2, 0), plan(4, 60), plan(4, 60)]
}

/// Floods the first cell, beside a gang there and an array elsewhere; returns the number of tasks.
fn flood(cells: &Cells) -> usize {
    for number in 1..=ARRAYS {
        cells.submit(0, &job(number, TASKS, "batch"));
    }
    cells.submit(0, &job(50, 4, "gang"));
    cells.submit(1, &job(60, 10, "batch"));
    (ARRAYS * TASKS) as usize + 4 + 10
}

fn wait_until_done(cells: &Cells) {
    for number in 1..=ARRAYS {
        until("an array is done at its home", || cells.stage(0, &id(number)) == "done");
    }
    until("the gang is done", || cells.stage(0, &id(50)) == "done");
    until("the other cell's own array is done", || cells.stage(1, &id(60)) == "done");
}

/// The gang ran whole, under one attempt, in its own cell.
fn assert_gang_whole(cells: &Cells) {
    let history = cells.history.lock().expect("the history");
    let mut attempts: Vec<_> = (0..4)
        .map(|n| history.started_attempts[&format!("{}/{n}", id(50))].iter().copied().collect::<Vec<_>>())
        .collect();
    attempts.dedup();
    assert_eq!(attempts.len(), 1, "all tasks of the gang have the same attempts: {attempts:?}");
    assert!(attempts[0].iter().all(|(cell, _)| *cell == 0), "in their own cell: {attempts:?}");
}

/// What each cell says it finished for the first is what its workers finished of the first's jobs.
fn assert_tally(cells: &Cells, tasks: usize) {
    for guest in [1, 2] {
        until("the loans are closed", || {
            cells.cells_status(guest).is_some_and(|status| status.borrowed.is_empty())
        });
    }
    let for_first = |cell: usize| {
        let status = cells.cells_status(cell).expect("a status");
        status.finished_for.get("cell-0").copied().unwrap_or(0) as usize
    };
    let told: Vec<usize> = [1, 2].map(for_first).to_vec();
    let history = cells.history.lock().expect("the history");
    history.assert_each_finished_once(tasks);
    let tally = history.finished_per_cell(3);
    assert_eq!(tally.iter().sum::<usize>(), tasks);
    assert_eq!(told, [tally[1] - 10, tally[2]], "{tally:?}");
    assert!(told.iter().sum::<usize>() > 20, "tasks were lent: {tally:?}");
}

#[test]
fn a_flood_spills_over_and_each_task_finishes_once() {
    let cells = Cells::start(1, &plans());
    let tasks = flood(&cells);
    wait_until_done(&cells);
    assert_gang_whole(&cells);
    assert_tally(&cells, tasks);
}

#[test]
fn a_guests_leader_that_dies_and_a_cut_between_cells_lose_and_repeat_nothing() {
    let mut cells = Cells::start(2, &plans());
    let tasks = flood(&cells);
    until("both hold tasks of the first", || {
        [1, 2]
            .iter()
            .all(|guest| cells.cells_status(*guest).is_some_and(|status| !status.borrowed.is_empty()))
    });
    cells.set_partitioned(0, 2, true);
    let leader = cells.leader(1).expect("a leader");
    cells.kill_controller(1, leader);
    until("the other controller leads", || cells.leader(1).is_some());
    cells.start_controller(1, leader);
    // The home's leader goes too, while one guest cannot be asked.
    let leader = cells.leader(0).expect("a leader");
    cells.kill_controller(0, leader);
    until("the home has a leader again", || cells.leader(0).is_some());
    cells.start_controller(0, leader);
    cells.set_partitioned(0, 2, false);
    wait_until_done(&cells);
    assert_gang_whole(&cells);
    assert_tally(&cells, tasks);
}

/// A transaction without a reply may have been carried out or not, and may yet be.
#[test]
fn lost_replies_of_the_state_stores_lose_and_repeat_nothing() {
    let cells = Cells::start(4, &plans());
    cells.drops_replies.store(true, Ordering::Relaxed);
    let tasks = flood(&cells);
    wait_until_done(&cells);
    cells.drops_replies.store(false, Ordering::Relaxed);
    assert_gang_whole(&cells);
    assert_tally(&cells, tasks);
}

/// Nothing comes back by itself from a cell that is gone, only by an operator's word.
#[test]
fn a_lost_cell_is_written_off_and_its_tasks_run_at_home() {
    let mut cells = Cells::start(5, &plans()[..2]);
    for number in 1..=ARRAYS {
        cells.submit(0, &job(number, TASKS, "batch"));
    }
    let lent = |cells: &Cells| cells.cells_status(0).map_or(0, |status| status.lent.len());
    until("the other cell holds tasks", || {
        cells.cells_status(1).is_some_and(|status| !status.borrowed.is_empty())
    });
    cells.destroy_cell(1);
    until("the rest is done, and what is lent waits", || {
        let present = cells.history.lock().expect("the history").on_machine.len();
        present == 0 && lent(&cells) > 0
    });
    assert!((1..=ARRAYS).any(|number| cells.stage(0, &id(number)) != "done"));
    let write_off = |extra: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .args(["write-off", "cell-1", "--internal", &cells.leader_address(0)])
            .args(extra)
            .output()
            .expect("the program")
    };
    assert_eq!(write_off(&[]).status.code(), Some(2), "not without saying that it is lost");
    assert!(lent(&cells) > 0);
    until("it is written off", || write_off(&["--lost-for-good"]).status.success());
    for number in 1..=ARRAYS {
        until("an array is done", || cells.stage(0, &id(number)) == "done");
    }
    assert_eq!(lent(&cells), 0);
}

#[test]
fn a_cancellation_is_confirmed_only_when_no_guest_behind_a_cut_holds_the_job() {
    let cells = Cells::start(3, &plans());
    let long = 600;
    cells.submit(0, &job(1, long, "batch"));
    let holders = || {
        let status = cells.cells_status(0).expect("a status");
        status.lent.iter().map(|loan| loan.cell.clone()).collect::<std::collections::BTreeSet<_>>()
    };
    until("both others hold tasks", || holders().len() == 2);
    until("the guest has accepted", || {
        cells.cells_status(2).is_some_and(|status| !status.borrowed.is_empty())
    });
    let same_id = cells.call(2, "POST", "/api/jobs", Some(&job(1, 1, "batch"))).0;
    assert_eq!(same_id, 503, "two jobs of one id could not be told apart on a worker");
    cells.set_partitioned(0, 1, true);
    let cancel = || cells.call(0, "POST", &format!("/api/jobs/{}/withdraw", id(1)), Some(&json!({})));
    assert_eq!(cancel().0, 503);
    until("only the one behind the cut is left", || holders().iter().eq(["cell-1"]));
    let (status, reply) = cancel();
    assert_eq!(status, 503, "{reply}");
    let stage = cells.stage(0, &id(1));
    assert!(["queued", "running"].contains(&stage.as_str()), "{stage} before it is certain");
    cells.set_partitioned(0, 1, false);
    until("it is confirmed", || cancel() == (200, json!({ "nameId": id(1), "stage": "cancelled" })));
    let confirmed = Instant::now();
    let present = || cells.history.lock().expect("the history").on_machine.len();
    until("all of it is gone", || present() == 0);
    assert!(confirmed.elapsed() < Duration::from_secs(CANCEL_S));
    assert_eq!(cells.stage(0, &id(1)), "cancelled");
    let finished = cells.history.lock().expect("the history").finished_of(&id(1));
    assert!(finished < long as usize, "it was cancelled in the middle");
}
