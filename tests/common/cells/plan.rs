//! Settings of one cell, and the files that its controllers read.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

use super::super::platform_json;
use super::addresses::Addresses;
use super::LEASE_S;

/// Controllers of each cell, unless its plan says otherwise.
const CONTROLLERS: usize = 2;

/// Settings of one cell.
pub struct CellPlan {
    /// Its number of workers, of four processors each.
    pub workers: usize,
    /// Processors' worth of tasks that it borrows.
    pub borrow_cpus: u32,
    /// Whether its settings have a block of cells.
    pub has_cells_block: bool,
    /// How long its tasks run.
    pub task_time: Duration,
    /// Its number of controllers.
    pub controllers: usize,
    /// The duration of its leader's lease.
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
    /// The operator's settings of a cell among so many.
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

/// The platform's settings of a controller of a cell with these addresses.
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
