//! Three cells on loopback addresses, whose controllers are processes of the real program. The first cell
//! receives more tasks than it can run in time. Every task must finish exactly once, in the only cell in
//! which it ever started, and a gang must run in one cell, whatever happens to controllers and links.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::cells::{until, CellPlan, Cells};
use common::spec;
use serde_json::{json, Value};

/// The number of job arrays that overload the first cell.
const ARRAYS: u32 = 3;
/// The number of tasks of each array.
const TASKS: u32 = 60;
/// The setting `cancel_s` of the workers in these cells.
const CANCEL_S: u64 = 8;

/// A job whose tasks have an expected run time of two seconds.
fn job(number: u32, tasks: u32, shape: &str) -> Value {
    let mut job = json!(spec(number, tasks, shape));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    job
}

fn id(number: u32) -> String {
    spec(number, 1, "batch").id
}

/// A small cell that borrows nothing, and two larger cells that borrow tasks.
fn plans() -> [CellPlan; 3] {
    let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, ..CellPlan::default() };
    [plan(2, 0), plan(4, 60), plan(4, 60)]
}

/// Submits the arrays and a gang to the first cell, and an array to the second one. Returns the number of
/// tasks.
fn overload_first_cell(cells: &Cells) -> usize {
    for number in 1..=ARRAYS {
        cells.submit(0, &job(number, TASKS, "batch"));
    }
    cells.submit(0, &job(50, 4, "gang"));
    cells.submit(1, &job(60, 10, "batch"));
    (ARRAYS * TASKS) as usize + 4 + 10
}

fn wait_until_done(cells: &Cells) {
    for number in 1..=ARRAYS {
        until("an array is done, according to its lender", || cells.stage(0, &id(number)) == "done");
    }
    until("the gang is done", || cells.stage(0, &id(50)) == "done");
    until("the other cell's own array is done", || cells.stage(1, &id(60)) == "done");
}

/// Asserts that all tasks of the gang ran with the same attempts, in the first cell.
fn assert_gang_whole(cells: &Cells) {
    let history = cells.history.lock().expect("the history");
    let mut attempts: Vec<_> = (0..4)
        .map(|n| history.started_attempts[&format!("{}/{n}", id(50))].iter().copied().collect::<Vec<_>>())
        .collect();
    attempts.dedup();
    assert_eq!(attempts.len(), 1, "all tasks of the gang have the same attempts: {attempts:?}");
    assert!(
        attempts[0].iter().all(|(cell, _)| *cell == 0),
        "all attempts are in the first cell: {attempts:?}"
    );
}

/// Asserts that all loans are closed and each task finished once. The numbers of tasks that the borrowers
/// report as finished for the first cell must equal those that their workers finished.
fn assert_finished_per_cell(cells: &Cells, tasks: usize) {
    for borrower in [1, 2] {
        until("the loans are closed", || {
            cells.cells_status(borrower).is_some_and(|status| status.borrowed.is_empty())
        });
    }
    let for_first = |cell: usize| {
        let status = cells.cells_status(cell).expect("a status");
        status.finished_for.get("cell-0").copied().unwrap_or(0) as usize
    };
    let reported: Vec<usize> = [1, 2].map(for_first).to_vec();
    let history = cells.history.lock().expect("the history");
    history.assert_each_finished_once(tasks);
    let finished = history.finished_per_cell(3);
    assert_eq!(finished.iter().sum::<usize>(), tasks);
    assert_eq!(reported, [finished[1] - 10, finished[2]], "{finished:?}");
    assert!(reported.iter().sum::<usize>() > 20, "tasks were lent: {finished:?}");
}

#[test]
fn an_overloaded_cell_lends_tasks_and_each_task_finishes_once() {
    let cells = Cells::start(1, &plans());
    let tasks = overload_first_cell(&cells);
    wait_until_done(&cells);
    assert_gang_whole(&cells);
    assert_finished_per_cell(&cells, tasks);
}

#[test]
fn killed_leaders_and_a_partition_between_cells_lose_and_repeat_no_task() {
    let mut cells = Cells::start(2, &plans());
    let tasks = overload_first_cell(&cells);
    until("both borrowers have tasks of the first cell", || {
        [1, 2]
            .iter()
            .all(|borrower| cells.cells_status(*borrower).is_some_and(|status| !status.borrowed.is_empty()))
    });
    cells.set_partitioned(0, 2, true);
    let leader = cells.leader(1).expect("a leader");
    cells.kill_controller(1, leader);
    until("the other controller leads", || cells.leader(1).is_some());
    cells.start_controller(1, leader);
    // The lender's leader is killed too, while one borrower is unreachable.
    let leader = cells.leader(0).expect("a leader");
    cells.kill_controller(0, leader);
    until("the lender has a leader again", || cells.leader(0).is_some());
    cells.start_controller(0, leader);
    cells.set_partitioned(0, 2, false);
    wait_until_done(&cells);
    assert_gang_whole(&cells);
    assert_finished_per_cell(&cells, tasks);
}

/// A transaction without a reply may have been executed, may still be executed later, or neither.
#[test]
fn lost_replies_of_the_state_stores_lose_and_repeat_no_task() {
    let cells = Cells::start(4, &plans());
    cells.drops_replies.store(true, Ordering::Relaxed);
    let tasks = overload_first_cell(&cells);
    wait_until_done(&cells);
    cells.drops_replies.store(false, Ordering::Relaxed);
    assert_gang_whole(&cells);
    assert_finished_per_cell(&cells, tasks);
}

/// The tasks lent to a lost cell remain lent until an operator writes them off.
#[test]
fn tasks_of_a_lost_borrower_run_at_the_lender_after_a_write_off() {
    let mut cells = Cells::start(5, &plans()[..2]);
    for number in 1..=ARRAYS {
        cells.submit(0, &job(number, TASKS, "batch"));
    }
    let lent = |cells: &Cells| cells.cells_status(0).map_or(0, |status| status.lent.len());
    until("the other cell has borrowed tasks", || {
        cells.cells_status(1).is_some_and(|status| !status.borrowed.is_empty())
    });
    cells.destroy_cell(1);
    until("the other tasks are done, and the lent tasks wait", || {
        let task_count = cells.history.lock().expect("the history").running.len();
        task_count == 0 && lent(&cells) > 0
    });
    assert!((1..=ARRAYS).any(|number| cells.stage(0, &id(number)) != "done"));
    let write_off = |extra: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .args(["write-off", "cell-1", "--internal", &cells.leader_address(0)])
            .args(extra)
            .output()
            .expect("the program")
    };
    assert_eq!(write_off(&[]).status.code(), Some(2), "refused without `--lost-for-good`");
    assert!(lent(&cells) > 0);
    until("the loans are written off", || write_off(&["--lost-for-good"]).status.success());
    for number in 1..=ARRAYS {
        until("an array is done", || cells.stage(0, &id(number)) == "done");
    }
    assert_eq!(lent(&cells), 0);
}

#[test]
fn a_cancellation_is_confirmed_only_when_no_unreachable_borrower_has_tasks_of_the_job() {
    let cells = Cells::start(3, &plans());
    let tasks = 600;
    cells.submit(0, &job(1, tasks, "batch"));
    let borrowers = || {
        let status = cells.cells_status(0).expect("a status");
        status.lent.iter().map(|loan| loan.cell.clone()).collect::<std::collections::BTreeSet<_>>()
    };
    until("both other cells are borrowers", || borrowers().len() == 2);
    until("the third cell has accepted the loan", || {
        cells.cells_status(2).is_some_and(|status| !status.borrowed.is_empty())
    });
    let same_id = cells.call(2, "POST", "/api/jobs", Some(&job(1, 1, "batch"))).0;
    assert_eq!(
        same_id, 503,
        "a job id that is already borrowed is refused, as workers cannot tell the jobs apart"
    );
    cells.set_partitioned(0, 1, true);
    let cancel = || cells.call(0, "POST", &format!("/api/jobs/{}/withdraw", id(1)), Some(&json!({})));
    assert_eq!(cancel().0, 503);
    until("only the unreachable borrower is left", || borrowers().iter().eq(["cell-1"]));
    let (status, reply) = cancel();
    assert_eq!(status, 503, "{reply}");
    let stage = cells.stage(0, &id(1));
    assert!(
        ["queued", "running"].contains(&stage.as_str()),
        "the stage is {stage} before the cancellation is confirmed"
    );
    cells.set_partitioned(0, 1, false);
    until("the job is cancelled", || cancel() == (200, json!({ "nameId": id(1), "stage": "cancelled" })));
    let confirmed = Instant::now();
    let task_count = || cells.history.lock().expect("the history").running.len();
    until("no machine has tasks of the job", || task_count() == 0);
    assert!(confirmed.elapsed() < Duration::from_secs(CANCEL_S));
    assert_eq!(cells.stage(0, &id(1)), "cancelled");
    let finished = cells.history.lock().expect("the history").finished_of(&id(1));
    assert!(finished < tasks as usize, "some tasks were cancelled");
}
