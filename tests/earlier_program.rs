//! The real program of an earlier version leads a cell that has tasks lent, between processes of this one.
//!
//! Run by hand: build the commit that `deploy/service.toml` names in a worktree of its own, then
//! `MILLETLOCK_EARLIER_PROGRAM=<its program> cargo test --test earlier_program -- --ignored --nocapture`.

mod common;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use common::cells::{until, CellPlan, Cells};
use common::{production, spec};
use serde_json::{json, Value};

const JOB: &str = "wk-000001";
const TASKS: u32 = 240;
/// How long each of the two earlier leaders leads.
const EARLIER_LEADS: Duration = Duration::from_secs(6);

/// A busy cell with one controller, and one with capacity.
fn plans() -> [CellPlan; 2] {
    let plan =
        |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers: 1, ..CellPlan::default() };
    [plan(2, 0), plan(4, 60)]
}

fn tasks_in(cells: &Cells, prefix: &str) -> BTreeSet<u32> {
    let rows = cells.rows(0, &format!("{prefix}/{JOB}/"));
    rows.iter().flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text"))).collect()
}

fn keys(cells: &Cells) -> Vec<String> {
    let all = ["job/", "final/", "done/", "marks/", "lent/"];
    all.iter()
        .flat_map(|prefix| cells.rows(0, prefix))
        .map(|row| format!("{} = {}", row.key, row.value))
        .collect()
}

/// How often each task of the job has finished.
fn finished(cells: &Cells, task: u32) -> usize {
    let history = cells.history.lock().expect("the history");
    history.finished.get(&format!("{JOB}/{task}")).map_or(0, Vec::len)
}

#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn finished_tasks_outlast_the_real_program_of_an_earlier_version() {
    let program = PathBuf::from(std::env::var("MILLETLOCK_EARLIER_PROGRAM").expect("the program's path"));
    let mut cells = Cells::start(9, &plans());
    let mut job = json!(spec(1, TASKS, "batch"));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    cells.submit(0, &job);
    until("some are done on both sides", || {
        let history = cells.history.lock().expect("the history");
        let tally = history.tally(2);
        drop(history);
        tally[0] > 10 && tally[1] > 20 && tasks_in(&cells, "done").len() > 20
    });
    cells.kill_controller(0, 0);
    let recorded: BTreeSet<u32> =
        tasks_in(&cells, "done").union(&tasks_in(&cells, "lent/done")).copied().collect();
    println!("recorded before: {} tasks\n{}", recorded.len(), keys(&cells).join("\n"));
    for _ in 0..2 {
        // The second one within a second of the end of the first.
        cells.start_earlier_program(0, 0, &program);
        std::thread::sleep(EARLIER_LEADS);
        let ask = |method: &str, path: &str, body: Option<&Value>| cells.call(0, method, path, body);
        println!("status {:?}", ask("GET", &format!("/api/jobs/{JOB}"), None));
        println!("submitted again {:?}", ask("POST", "/api/jobs", Some(&job)));
        let cancelled = ask("POST", &format!("/api/jobs/{JOB}/withdraw"), None);
        println!("cancelled {cancelled:?}");
        assert_ne!(cancelled.0, 200, "no cancellation is confirmed while tasks are lent");
        println!("rows:\n{}", keys(&cells).join("\n"));
        let log = std::fs::read_to_string(cells.log_file(0, 0)).expect("its log");
        println!("log:\n{}", log.lines().take(12).collect::<Vec<_>>().join("\n"));
        cells.kill_controller(0, 0);
    }
    cells.start_controller(0, 0);
    until("the job is done", || cells.stage(0, JOB) == "done");
    let again: Vec<u32> = recorded.iter().filter(|task| finished(&cells, **task) > 1).copied().collect();
    let all_again: Vec<u32> = (0..TASKS).filter(|task| finished(&cells, *task) > 1).collect();
    println!("recorded tasks that ran again: {again:?}; of all: {all_again:?}");
    assert!(again.is_empty(), "recorded tasks ran again: {again:?}");
}
