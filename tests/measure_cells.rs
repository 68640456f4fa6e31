//! Measurements of cells on loopback addresses, to be run manually:
//! `cargo test --release --test measure_cells -- --ignored --nocapture`. The results depend on the machine.
//! docs/results.md lists some.

mod common;

use std::time::{Duration, Instant};

use common::cells::{until, CellPlan, Cells};
use common::spec;
use serde_json::json;

/// The number of tasks that overload the first cell.
const TASKS: u32 = 1000;

fn plans(borrow_cpus: u32, has_cells_block: bool) -> [CellPlan; 3] {
    [2, 4, 4].map(|workers| CellPlan { workers, borrow_cpus, has_cells_block, ..CellPlan::default() })
}

/// Overloads the first cell. Prints the time until all tasks are done, the messages between the cells, and
/// the changes of the state stores. With `cut`, the first and the third cell cannot reach each other.
fn drain(title: &str, group: u8, borrow_cpus: u32, cut: bool) {
    let cells = Cells::start(group, &plans(borrow_cpus, true));
    cells.set_partitioned(0, 2, cut);
    let before: Vec<(usize, usize)> = (0..3).map(|cell| cells.state_store_load(cell)).collect();
    let started = Instant::now();
    for number in 1..=5 {
        let mut job = json!(spec(number, TASKS / 5, "batch"));
        job["expectS"] = json!(2.0);
        cells.submit(0, &job);
    }
    for number in 1..=5 {
        until("an array is done", || cells.stage(0, &spec(number, 1, "batch").id) == "done");
    }
    let duration_s = started.elapsed().as_secs_f64();
    let history = cells.history.lock().expect("the history");
    history.assert_each_finished_once(TASKS as usize);
    let changes: Vec<usize> = (0..3).map(|cell| cells.state_store_load(cell).1 - before[cell].1).collect();
    let messages: Vec<u64> = (0..3)
        .filter_map(|cell| cells.cells_status(cell))
        .map(|status| status.others.iter().map(|other| other.messages).sum())
        .collect();
    println!("{title}: messages sent by cell {messages:?}");
    println!(
        "{title}: {duration_s:.1} s, finished by cell {:?}, changes by cell {changes:?}",
        history.finished_per_cell(3)
    );
}

#[test]
#[ignore = "a measurement, to be run manually"]
fn time_to_drain_an_overloaded_cell() {
    drain("without lending", 11, 0, false);
    drain("with lending", 12, 60, false);
    drain("with lending, one borrower cut off", 13, 60, true);
}

#[test]
#[ignore = "a measurement, to be run manually"]
fn cost_of_a_cells_block_while_idle() {
    for (title, group, has_cells_block) in
        [("without a cells block", 14, false), ("with a cells block", 15, true)]
    {
        let cells = Cells::start(group, &plans(60, has_cells_block));
        let before = (cells.state_store_load(0), cells.processor_ticks(0));
        std::thread::sleep(Duration::from_secs(20));
        let (requests, changes) = cells.state_store_load(0);
        let ticks = cells.processor_ticks(0) - before.1;
        println!(
            "{title}, 20 s idle: {} requests, {} changes, {ticks} ticks of processor time",
            requests - before.0 .0,
            changes - before.0 .1
        );
    }
}
