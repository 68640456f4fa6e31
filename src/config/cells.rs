//! The operators' settings of cells (installations that lend tasks to one another): the other cells, and
//! which tasks this cell lends and borrows.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use milletlock_cells::LendingScript;
use serde::Deserialize;

use super::validation::require_not_negative;
use super::ConfigError;

/// Maximum length of a cell's name in bytes.
const MAX_NAME_LENGTH: usize = 40;
/// Matches every class in the lists `lend` and `borrow`, also jobs without a class.
const ALL_CLASSES: &str = "*";

/// Another cell with which this cell exchanges loans.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OtherCell {
    /// Name of the other cell, the same as in its own settings.
    pub name: String,
    /// Addresses at which the other cell's controllers listen for other controllers; at least one.
    pub controllers: Vec<SocketAddr>,
}

/// The `cells` block. Without it this cell lends and borrows nothing, sends no messages to other cells and
/// writes no records of loans.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellsSettings {
    /// Name of this cell.
    pub name: String,
    /// The other cells. Their names differ from each other and from this cell's name.
    pub others: Vec<OtherCell>,
    /// Classes of job arrays whose tasks may be lent; `*` means all classes.
    #[serde(default)]
    pub lend: Vec<String>,
    /// Classes of job arrays whose tasks may be borrowed; `*` means all classes.
    #[serde(default)]
    pub borrow: Vec<String>,
    /// Maximum number of processors that borrowed tasks may use at a time. All other capacity is reserved for
    /// this cell's own tasks.
    #[serde(default)]
    pub borrow_cpus: f64,
    /// Seconds that a job must have waited before any of its tasks are lent.
    #[serde(default = "default_lend_after_s")]
    pub lend_after_s: f64,
    /// Lending script. Its function `portion(view)` returns how many tasks of a job to lend to a cell.
    /// Without a script the built-in rule decides.
    #[serde(default)]
    pub script: Option<String>,
}

fn default_lend_after_s() -> f64 {
    15.0
}

/// Whether a list of classes contains a class or [`ALL_CLASSES`].
fn lists_class(classes: &[String], class: Option<&String>) -> bool {
    classes.iter().any(|listed| listed == ALL_CLASSES || Some(listed) == class)
}

impl CellsSettings {
    /// Whether tasks of job arrays of a class may be lent.
    pub fn lends(&self, class: Option<&String>) -> bool {
        lists_class(&self.lend, class)
    }

    /// Whether tasks of job arrays of a class may be borrowed.
    pub fn borrows(&self, class: Option<&String>) -> bool {
        lists_class(&self.borrow, class)
    }

    /// The settings of another cell; `None` if no other cell has this name.
    pub fn other(&self, name: &str) -> Option<&OtherCell> {
        self.others.iter().find(|cell| cell.name == name)
    }

    /// Addresses of the controllers of all other cells, in the order of the settings.
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
                let reason = format!("`{}` is the name of this cell itself", cell.name);
                return Err(ConfigError::field(field_path("name"), reason));
            }
            if !names.insert(&cell.name) {
                let reason = format!("`{}` is the name of two cells", cell.name);
                return Err(ConfigError::field(field_path("name"), reason));
            }
            if cell.controllers.is_empty() {
                let reason = "must contain at least one address";
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
