//! The shutdown of a leader by SIGTERM. The tests run processes of the real program on the loopback
//! interface.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::cells::{until, CellPlan, Cells};
use common::{production, spec};
use milletlock::jobs::split_task;
use serde_json::{json, Value};

const JOB: &str = "wk-000001";
const TASKS: u32 = 240;
/// The duration of a leader's lease, in seconds.
const LEADER_TTL_S: f64 = 20.0;
/// Longest time until another controller leads; far less than the duration of the lease.
const HANDOVER: Duration = Duration::from_secs(5);
/// Longest time until a controller's process has ended. It may have to wait for a watch of the leader's
/// record.
const MAX_STOP: Duration = Duration::from_secs(10);

fn job() -> Value {
    let mut job = json!(spec(1, TASKS, "batch"));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    job
}

/// The tasks that are recorded as done where a leader of any version reads them.
fn recorded(cells: &Cells) -> BTreeSet<u32> {
    let rows = cells.rows(0, &format!("lent/done/{JOB}/"));
    rows.iter().flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text"))).collect()
}

/// The tasks of a cell whose results its leader has accepted.
fn accepted(cells: &Cells, cell: usize) -> BTreeSet<u32> {
    let history = cells.history.lock().expect("the history");
    let exits = history.exits.iter().flat_map(|(task, exits)| exits.iter().map(move |exit| (task, exit)));
    let of_cell = exits.filter(|(_, exit)| exit.cell == cell && exit.accepted.is_some());
    of_cell.map(|(task, _)| split_task(task).expect("a task").1).collect()
}

/// Guards against the loss of results of lent jobs that a leader has accepted and not yet written when it
/// receives SIGTERM.
#[test]
fn a_leader_that_receives_sigterm_records_the_results_it_has_accepted() {
    let plan = |workers, borrow_cpus| CellPlan {
        workers,
        borrow_cpus,
        controllers: 1,
        task_time: Duration::from_secs(60),
        ..CellPlan::default()
    };
    let mut cells = Cells::start(11, &[plan(2, 0), plan(1, 20)]);
    cells.submit(0, &job());
    let has_loans = || cells.cells_status(0).is_some_and(|status| !status.lent.is_empty());
    until("tasks are lent", has_loans);
    let running = || -> Vec<String> {
        let history = cells.history.lock().expect("the history");
        let present = history.running.keys().filter(|(cell, _)| *cell == 0);
        present.map(|(_, attempt)| attempt.0.clone()).collect()
    };
    until("all machines are fully used", || running().len() == 8);
    let before = accepted(&cells, 0).len();
    let ended_tasks = running();
    cells.end_tasks(&ended_tasks);
    until("results are accepted", || accepted(&cells, 0).len() >= before + ended_tasks.len() / 2);
    let accepted_results = accepted(&cells, 0);
    cells.terminate_controller(0, 0);
    let recorded = recorded(&cells);
    assert!(
        recorded.is_superset(&accepted_results),
        "accepted results: {accepted_results:?}; recorded results: {recorded:?}"
    );
}

/// Guards against a cell that has no leader until the lease of a leader that was shut down has expired.
#[test]
fn a_leader_that_receives_sigterm_ends_its_lease() {
    let plan = CellPlan { workers: 1, leader_ttl_s: LEADER_TTL_S, ..CellPlan::default() };
    let mut cells = Cells::start(12, &[plan]);
    let leader = cells.leader(0).expect("a leader");
    let token = |cells: &Cells| cells.rows(0, "term")[0].value["n"].as_u64();
    let before = token(&cells);
    let asked = Instant::now();
    cells.send_sigterm(0, leader);
    until("another controller leads", || token(&cells) != before);
    assert!(asked.elapsed() < HANDOVER, "another controller led only after {:?}", asked.elapsed());
    cells.await_end(0, leader);
    assert!(asked.elapsed() < MAX_STOP, "the process ended only after {:?}", asked.elapsed());
}
