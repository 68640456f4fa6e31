//! The operators' own choice of how much to lend, as a script.

use std::sync::atomic::{AtomicBool, Ordering};

use rhai::{Dynamic, Engine, Map, Scope, AST};

use crate::policy::LendingView;

/// The function that a script has to define.
const FUNCTION: &str = "portion";
/// Steps that one call may take.
const MAX_OPERATIONS: u64 = 20_000;
/// Calls within calls.
const MAX_CALL_LEVELS: usize = 16;
/// Items of an array or map, and characters of a text, that a script may make.
const MAX_SIZE: usize = 1_000;

/// A script that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// It cannot be parsed.
    #[error("the script cannot be read: {0}")]
    Syntax(String),
    /// It defines no function of the expected form.
    #[error("the script defines no function `{FUNCTION}(view)`")]
    NoFunction,
}

/// An operators' script: its function `portion(view)` says how many tasks to lend. It sees numbers only,
/// and neither its steps nor its memory are unbounded. A call that fails or answers no number lends
/// nothing.
pub struct Script {
    engine: Engine,
    program: AST,
    has_failed: AtomicBool,
}

impl Script {
    /// Reads a script.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let mut engine = Engine::new();
        engine.set_max_operations(MAX_OPERATIONS);
        engine.set_max_call_levels(MAX_CALL_LEVELS);
        engine.set_max_array_size(MAX_SIZE);
        engine.set_max_map_size(MAX_SIZE);
        engine.set_max_string_size(MAX_SIZE);
        engine.disable_symbol("eval");
        // What a script prints goes nowhere.
        engine.on_print(|_| ());
        engine.on_debug(|_, _, _| ());
        let program = engine.compile(text).map_err(|e| ScriptError::Syntax(e.to_string()))?;
        let is_portion = |f: rhai::ScriptFnMetadata| f.name == FUNCTION && f.params.len() == 1;
        if !program.iter_functions().any(is_portion) {
            return Err(ScriptError::NoFunction);
        }
        Ok(Script { engine, program, has_failed: AtomicBool::new(false) })
    }

    /// How many tasks to lend, within the bounds that hold for every choice. A failure lends nothing and
    /// is logged once.
    pub fn portion(&self, view: &LendingView) -> u32 {
        match self.call(view) {
            Ok(wanted) => view.bounded(wanted),
            Err(why) => {
                if !self.has_failed.swap(true, Ordering::Relaxed) {
                    tracing::error!(%why, "the lending script fails, nothing is lent");
                }
                0
            }
        }
    }

    fn call(&self, view: &LendingView) -> Result<f64, String> {
        let mut numbers = Map::new();
        let mut number = |name: &str, value: f64| numbers.insert(name.into(), Dynamic::from_float(value));
        number("backlog_s", view.backlog_s);
        number("drain_s", view.drain_s);
        number("lendable", f64::from(view.lendable));
        number("task_cpus", view.task_cpus);
        number("task_s", view.task_s);
        number("waited_s", view.waited_s);
        number("guest_spare_cpus", view.guest_spare_cpus);
        number("guest_backlog_s", view.guest_backlog_s);
        number("default_portion", f64::from(view.portion()));
        let answer: Dynamic = self
            .engine
            .call_fn(&mut Scope::new(), &self.program, FUNCTION, (numbers,))
            .map_err(|e| e.to_string())?;
        let wanted = answer.as_float().or_else(|_| answer.as_int().map(|n| n as f64));
        wanted.map_err(|kind| format!("it answers a {kind}, not a number"))
    }
}

impl std::fmt::Debug for Script {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Script").finish_non_exhaustive()
    }
}
