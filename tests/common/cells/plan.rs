//! The settings of a cell, and the settings files that its controllers read.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

use super::super::platform_json;
use super::addresses::Addresses;
use super::LEASE_S;

/// The default number of controllers of a cell.
const CONTROLLERS: usize = 2;

/// The settings of one cell.
pub struct CellPlan {
    /// The number of workers, each with four processors.
    pub workers: usize,
    /// The number of processors for which the cell borrows tasks.
    pub borrow_cpus: u32,
    /// Whether the operator's settings contain a `cells` block.
    pub has_cells_block: bool,
    /// The run time of each task.
    pub task_time: Duration,
    /// The number of controllers.
    pub controllers: usize,
    /// The duration of the leader's lease, in seconds.
    pub leader_ttl_s: f64,
}

impl Default for CellPlan {
    fn default() -> CellPlan {
        CellPlan {
            workers: 0,
            borrow_cpus: 0,
            has_cells_block: true,
            task_time: Duration::from_millis(250),
            controllers: CONTROLLERS,
            leader_ttl_s: 1.0,
        }
    }
}

impl CellPlan {
    /// The operator's settings of the cell with the index `cell`, in a test with `cells` cells.
    pub fn operator_settings(&self, cell: usize, cells: usize, addresses: &Addresses) -> String {
        let mut others = String::new();
        for to in (0..cells).filter(|to| *to != cell) {
            let quoted = |c: usize| format!("\"{}\"", addresses.link(cell, to, c));
            let list: Vec<String> = (0..self.controllers).map(quoted).collect();
            others += &format!("{{ name = \"cell-{to}\", controllers = [{}] }},", list.join(", "));
        }
        let block = format!(
            "cells {{\n name = \"cell-{cell}\"\n others = [{others}]\n lend = [\"*\"]\n borrow = [\"any\"]\n \
             borrow_cpus = {}\n lend_after_s = 0.3\n}}\n",
            self.borrow_cpus
        );
        let block = if self.has_cells_block { block.as_str() } else { "" };
        let ttl_s = self.leader_ttl_s;
        format!("leader_ttl_s = {ttl_s:?}\ndrain_s = 3.0\nidle_s = 600.0\nidle_protected_s = 600.0\n{block}")
    }
}

/// The platform settings of a controller. The addresses are those of its cell's controllers, cloud and state
/// store.
pub fn platform_settings(
    controller: usize,
    users: &[SocketAddr],
    internal: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let mut settings = platform_json();
    settings["label"] = json!(format!("c-{controller}"));
    settings["serve_on"] = json!(users[controller].to_string());
    settings["internal_addr"] = json!(internal[controller].to_string());
    let member = |other: usize| json!({ "label": format!("c-{other}"), "addr": internal[other] });
    settings["members"] = (0..users.len()).filter(|other| *other != controller).map(member).collect();
    settings["services"] = json!({ "cloud": cloud, "state": state });
    let workers = &mut settings["settings"]["workers"];
    workers["report_s"] = json!(0.5);
    workers["lease_s"] = json!(LEASE_S);
    workers["cancel_s"] = json!(8.0);
    settings.to_string()
}
