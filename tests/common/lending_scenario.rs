//! A scenario with a cell of two machines that lends tasks to another cell and borrows tasks from it.

use std::sync::Arc;

use milletlock::config::{Config, OperatorConfig};
use milletlock::fleet::LoanWrite;
use milletlock::time::Wall;
use milletlock::wire::{ExitReason, TaskStage};
use milletlock_cells::{CellSummary, TaskSet, SUMMARY_FORMAT};

use super::fleet_scenario::Scenario;
use super::{config, heartbeat};

/// Settings of a cell named `here` that lends tasks to a cell named `there` and borrows tasks from it.
pub fn lending_config() -> Arc<Config> {
    let hcl =
        "cells {\n name = \"here\"\n others = [{ name = \"there\", controllers = [\"127.0.0.1:1\"] }]\n \
               lend = [\"any\"]\n borrow = [\"any\"]\n borrow_cpus = 20\n lend_after_s = 0\n}\n";
    let operator = OperatorConfig::parse(hcl, "test").expect("settings");
    Arc::new(Config { platform: config().platform.clone(), operator })
}

/// A scenario with two machines and the settings of [`lending_config`].
pub fn lending_scenario() -> Scenario {
    Scenario::with_config(lending_config(), 2, false)
}

/// The summary of a borrower that accepts tasks for `spare_cpus` processors.
pub fn borrower_summary(spare_cpus: f64) -> CellSummary {
    CellSummary { format: SUMMARY_FORMAT, spare_cpus, ..CellSummary::default() }
}

/// The scenario's wall-clock time.
pub fn wall(s: &Scenario) -> Wall {
    Wall(s.now.0)
}

/// Begins to lend the last `count` tasks of the fleet's only job.
pub fn lend(s: &mut Scenario, count: u32) -> LoanWrite {
    let candidate =
        s.fleet.lending_candidate(&borrower_summary(1000.0), wall(s)).expect("a lending candidate");
    s.fleet.begin_loan(&candidate, count, "there").expect("a loan")
}

/// Parses a set of tasks, such as `10-19`.
pub fn tasks(text: &str) -> TaskSet {
    TaskSet::parse(text).expect("tasks")
}

/// Runs the scenario until no more tasks start. All started tasks complete. Returns their numbers.
pub fn run_to_rest(s: &mut Scenario) -> TaskSet {
    let mut all = TaskSet::new();
    for _ in 0..30 {
        s.step(&[]);
        for id in s.machines.clone() {
            let started = s.tasks(&id);
            let numbers = started.iter().filter_map(|t| t.0.rsplit_once('/')?.1.parse::<u32>().ok());
            numbers.for_each(|n| {
                all.insert(n);
            });
            // The next heartbeat lists the tasks as done, and the one after it lists none.
            let done: Vec<_> = started
                .iter()
                .map(|t| (t.0.as_str(), t.1, TaskStage::Exited, Some(ExitReason::Done)))
                .collect();
            for tasks in [done.as_slice(), &[]] {
                s.sequence += 1;
                s.send_heartbeat(&heartbeat(&id, s.sequence, 7, tasks));
            }
        }
    }
    all
}
