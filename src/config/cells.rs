//! The operators' settings of cells (clusters that lend tasks to one another): which others there are,
//! what is lent and what is borrowed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use milletlock_cells::LendingScript;
use serde::Deserialize;

use super::validation::require_not_negative;
use super::ConfigError;

/// Longest name of a cell, in bytes.
const MAX_NAME_LENGTH: usize = 40;
/// Stands for all classes in a list of classes.
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
    /// Classes of job arrays that may be lent; `*` for all.
    #[serde(default)]
    pub lend: Vec<String>,
    /// Classes of job arrays that may be borrowed; `*` for all.
    #[serde(default)]
    pub borrow: Vec<String>,
    /// Most processors that borrowed tasks may use at a time; the rest is reserved for this cell's own tasks.
    #[serde(default)]
    pub borrow_cpus: f64,
    /// How long a job waits before any of its tasks are lent, in seconds.
    #[serde(default = "default_lend_after_s")]
    pub lend_after_s: f64,
    /// A script whose function `portion(view)` returns how many tasks to lend.
    #[serde(default)]
    pub script: Option<String>,
}

fn default_lend_after_s() -> f64 {
    15.0
}

/// Whether a list of classes names a class, or all.
fn lists_class(classes: &[String], class: Option<&String>) -> bool {
    classes.iter().any(|listed| listed == ALL_CLASSES || Some(listed) == class)
}

impl CellsSettings {
    /// Whether job arrays of a class may be lent.
    pub fn lends(&self, class: Option<&String>) -> bool {
        lists_class(&self.lend, class)
    }

    /// Whether job arrays of a class may be borrowed.
    pub fn borrows(&self, class: Option<&String>) -> bool {
        lists_class(&self.borrow, class)
    }

    /// Another cell by name.
    pub fn other(&self, name: &str) -> Option<&OtherCell> {
        self.others.iter().find(|cell| cell.name == name)
    }

    /// Addresses of all other cells' controllers, in the order of the settings.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.others.iter().flat_map(|cell| cell.controllers.iter().copied()).collect()
    }

    pub(super) fn validate(&self) -> Result<(), ConfigError> {
        validate_name("cells.name", &self.name)?;
        let mut names = BTreeSet::from([self.name.as_str()]);
        for (i, cell) in self.others.iter().enumerate() {
            let field_path = |field: &str| format!("cells.others[{i}].{field}");
            validate_name(&field_path("name"), &cell.name)?;
            if cell.name == self.name {
                let reason = format!("{} is this cell's own name", cell.name);
                return Err(ConfigError::field(field_path("name"), reason));
            }
            if !names.insert(&cell.name) {
                let reason = format!("two cells are called {}", cell.name);
                return Err(ConfigError::field(field_path("name"), reason));
            }
            if cell.controllers.is_empty() {
                let reason = "must name at least one controller";
                return Err(ConfigError::field(field_path("controllers"), reason));
            }
        }
        require_not_negative("cells.borrow_cpus", self.borrow_cpus)?;
        require_not_negative("cells.lend_after_s", self.lend_after_s)?;
        match self.script.as_deref().map(LendingScript::parse) {
            Some(Err(e)) => Err(ConfigError::field("cells.script", e.to_string().replace('\n', " "))),
            _ => Ok(()),
        }
    }
}

fn validate_name(field: &str, name: &str) -> Result<(), ConfigError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        let reason = format!("must be 1 to {MAX_NAME_LENGTH} lower-case letters, digits and hyphens");
        return Err(ConfigError::field(field, reason));
    }
    Ok(())
}
