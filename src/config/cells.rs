//! The operators' settings of cells: which others there are, what is lent and what is borrowed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use milletlock_cells::LendingScript;
use serde::Deserialize;

use super::{bad, not_negative, ConfigError};

/// Longest name of a cell.
const MAX_NAME: usize = 40;
/// In a list of classes: all of them.
const ALL_CLASSES: &str = "*";

/// Another cell.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OtherCell {
    /// Its name.
    pub name: String,
    /// Its controllers' addresses for other controllers.
    pub controllers: Vec<SocketAddr>,
}

/// The `cells` block. Without it nothing is lent, borrowed, sent or written.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellsSettings {
    /// This cell's name.
    pub name: String,
    /// The other cells.
    pub others: Vec<OtherCell>,
    /// Classes of arrays that may be lent; `*` for all.
    #[serde(default)]
    pub lend: Vec<String>,
    /// Classes of arrays that may be borrowed; `*` for all.
    #[serde(default)]
    pub borrow: Vec<String>,
    /// Processors' worth of borrowed tasks at a time; what is beyond is kept for own work.
    #[serde(default)]
    pub borrow_cpus: f64,
    /// Nothing of a job is lent before it has waited this long, in seconds.
    #[serde(default = "default_lend_after_s")]
    pub lend_after_s: f64,
    /// A script whose function `portion(view)` says how many tasks to lend.
    #[serde(default)]
    pub script: Option<String>,
}

fn default_lend_after_s() -> f64 {
    15.0
}

fn has_class(classes: &[String], class: Option<&String>) -> bool {
    classes.iter().any(|c| c == ALL_CLASSES || Some(c) == class)
}

impl CellsSettings {
    /// Whether arrays of a class may be lent.
    pub fn lends(&self, class: Option<&String>) -> bool {
        has_class(&self.lend, class)
    }

    /// Whether arrays of a class may be borrowed.
    pub fn borrows(&self, class: Option<&String>) -> bool {
        has_class(&self.borrow, class)
    }

    /// Another cell by name.
    pub fn other(&self, name: &str) -> Option<&OtherCell> {
        self.others.iter().find(|cell| cell.name == name)
    }

    /// Addresses of all other cells' controllers, cell by cell.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().flat_map(|cell| cell.controllers.iter().copied()).collect()
    }

    pub(super) fn check(&self) -> Result<(), ConfigError> {
        check_name("cells.name", &self.name)?;
        let mut names = BTreeSet::from([self.name.as_str()]);
        for (i, cell) in self.others.iter().enumerate() {
            let at = |field: &str| format!("cells.others[{i}].{field}");
            check_name(&at("name"), &cell.name)?;
            if cell.name == self.name {
                return Err(bad(at("name"), format!("{} is this cell's own name", cell.name)));
            }
            if !names.insert(&cell.name) {
                return Err(bad(at("name"), format!("two cells are called {}", cell.name)));
            }
            if cell.controllers.is_empty() {
                return Err(bad(at("controllers"), "must name at least one controller"));
            }
        }
        not_negative("cells.borrow_cpus", self.borrow_cpus)?;
        not_negative("cells.lend_after_s", self.lend_after_s)?;
        match self.script.as_deref().map(LendingScript::parse) {
            Some(Err(e)) => Err(bad("cells.script", e.to_string().replace('\n', " "))),
            _ => Ok(()),
        }
    }
}

fn check_name(field: &str, name: &str) -> Result<(), ConfigError> {
    let is_good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(is_good) {
        return Err(bad(field, "must be 1 to 40 lower-case letters, digits and hyphens"));
    }
    Ok(())
}
