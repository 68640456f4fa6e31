//! An operator's own policy of how much to lend, as a script.

use std::sync::atomic::{AtomicBool, Ordering};

use rhai::{Dynamic, Engine, EvalAltResult, Map, Scope, AST};

use crate::policy::LendingInputs;

/// The function that a script has to define.
const FUNCTION: &str = "portion";
/// Operations that one call may execute.
const MAX_OPERATIONS: u64 = 20_000;
/// Depth of nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// Items of an array or map, and characters of a string, that a script may create.
const MAX_SIZE: usize = 1_000;

/// Why a script cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// It cannot be parsed.
    #[error("the script cannot be read: {0}")]
    Syntax(String),
    /// It defines no function of the expected name and arity.
    #[error("the script defines no function `{FUNCTION}(view)`")]
    NoFunction,
}

/// Why a call of a script gave no number.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Evaluation(#[from] Box<EvalAltResult>),
    #[error("it answers a {0}, not a number")]
    NotANumber(&'static str),
}

/// An operator's script. Its function `portion(view)` returns how many tasks to lend.
///
/// The script sees numbers only, and both its operations and its memory are bounded. A call that fails
/// or returns no number lends nothing.
pub struct LendingScript {
    engine: Engine,
    program: AST,
    failure_logged: AtomicBool,
}

impl LendingScript {
    /// Parses a script and checks that it defines the function.
    pub fn parse(text: &str) -> Result<LendingScript, ScriptError> {
        let engine = sandboxed_engine();
        let program = engine.compile(text).map_err(|error| ScriptError::Syntax(error.to_string()))?;
        let is_entry_point =
            |function: rhai::ScriptFnMetadata| function.name == FUNCTION && function.params.len() == 1;
        if !program.iter_functions().any(is_entry_point) {
            return Err(ScriptError::NoFunction);
        }
        Ok(LendingScript { engine, program, failure_logged: AtomicBool::new(false) })
    }

    /// How many tasks to lend, within the bounds that hold for every policy. A failure lends nothing and
    /// is logged once.
    pub fn task_count(&self, inputs: &LendingInputs) -> u32 {
        match self.call(inputs) {
            Ok(wanted) => inputs.bounded_task_count(wanted),
            Err(why) => {
                if !self.failure_logged.swap(true, Ordering::Relaxed) {
                    tracing::error!(%why, "the lending script fails, nothing is lent");
                }
                0
            }
        }
    }

    fn call(&self, inputs: &LendingInputs) -> Result<f64, CallError> {
        let arguments = (script_view(inputs),);
        let answer: Dynamic = self.engine.call_fn(&mut Scope::new(), &self.program, FUNCTION, arguments)?;
        let wanted = answer.as_float().or_else(|_| answer.as_int().map(|count| count as f64));
        wanted.map_err(CallError::NotANumber)
    }
}

impl std::fmt::Debug for LendingScript {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LendingScript").finish_non_exhaustive()
    }
}

/// An engine in which a script can neither run for long, use much memory nor print.
fn sandboxed_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_array_size(MAX_SIZE);
    engine.set_max_map_size(MAX_SIZE);
    engine.set_max_string_size(MAX_SIZE);
    engine.disable_symbol("eval");
    engine.on_print(|_| ());
    engine.on_debug(|_, _, _| ());
    engine
}

/// The inputs under the names that operators' scripts use; these are part of the settings' interface.
fn script_view(inputs: &LendingInputs) -> Map {
    let numbers = [
        ("backlog_s", inputs.backlog_s),
        ("drain_s", inputs.drain_s),
        ("lendable", f64::from(inputs.lendable)),
        ("task_cpus", inputs.task_cpus),
        ("task_s", inputs.task_s),
        ("waited_s", inputs.waited_s),
        ("guest_spare_cpus", inputs.borrower_spare_cpus),
        ("guest_backlog_s", inputs.borrower_backlog_s),
        ("default_portion", f64::from(inputs.default_task_count())),
    ];
    numbers.into_iter().map(|(name, number)| (name.into(), Dynamic::from_float(number))).collect()
}
