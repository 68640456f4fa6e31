//! A cell with two machines that lends tasks to another cell and borrows from it.

use std::sync::Arc;

use milletlock::config::{Config, OperatorConfig};
use milletlock::fleet::LoanWrite;
use milletlock::time::Wall;
use milletlock::wire::{ExitReason, TaskStage};
use milletlock_cells::{CellSummary, TaskSet, SUMMARY_FORMAT};

use super::fleet_scenario::Scenario;
use super::{config, heartbeat};

/// Settings under which a cell lends to another one and borrows from it.
pub fn lending_config() -> Arc<Config> {
    let hcl =
        "cells {\n name = \"here\"\n others = [{ name = \"there\", controllers = [\"127.0.0.1:1\"] }]\n \
               lend = [\"any\"]\n borrow = [\"any\"]\n borrow_cpus = 20\n lend_after_s = 0\n}\n";
    let operator = OperatorConfig::parse(hcl, "test").expect("settings");
    Arc::new(Config { platform: config().platform.clone(), operator })
}

/// Two machines of a cell that lends and borrows.
pub fn lending_scenario() -> Scenario {
    Scenario::with_config(lending_config(), 2, false)
}

/// A guest with capacity for so many processors.
pub fn borrower_summary(spare_cpus: f64) -> CellSummary {
    CellSummary { format: SUMMARY_FORMAT, spare_cpus, ..CellSummary::default() }
}

/// The time of day.
pub fn wall(s: &Scenario) -> Wall {
    Wall(s.now.0)
}

/// Has the fleet lend the last tasks of its only job.
pub fn lend(s: &mut Scenario, count: u32) -> LoanWrite {
    let candidate =
        s.fleet.lending_candidate(&borrower_summary(1000.0), wall(s)).expect("a job to lend from");
    s.fleet.begin_loan(&candidate, count, "there").expect("a loan")
}

/// A set of tasks from its text form.
pub fn tasks(text: &str) -> TaskSet {
    TaskSet::parse(text).expect("tasks")
}

/// Runs until nothing more starts; the numbers of all tasks that are on machines.
pub fn run_to_rest(s: &mut Scenario) -> TaskSet {
    let mut all = TaskSet::new();
    for _ in 0..30 {
        s.step(&[]);
        for id in s.machines.clone() {
            let there = s.tasks(&id);
            let numbers = there.iter().filter_map(|t| t.0.rsplit_once('/')?.1.parse::<u32>().ok());
            numbers.for_each(|n| {
                all.insert(n);
            });
            // They are done at once, and gone after that.
            let done: Vec<_> = there
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
