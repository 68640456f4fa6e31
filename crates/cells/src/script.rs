//! Lending scripts, with which operators replace the built-in choice of the number of tasks to lend.

use std::sync::atomic::{AtomicBool, Ordering};

use rhai::{Dynamic, Engine, EvalAltResult, Map, Scope, AST};

use crate::policy::LendingInputs;

/// The name of the function that a script must define.
const FUNCTION_NAME: &str = "portion";
/// The maximum number of operations that one call may execute.
const MAX_OPERATIONS: u64 = 20_000;
/// The maximum depth of nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// The maximum number of items of an array or map, and of bytes of a string, that a script may create.
const MAX_SIZE: usize = 1_000;

/// The reasons for which a script cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The script cannot be parsed. The value is the parser's message.
    #[error("the script cannot be parsed: {0}")]
    Syntax(String),
    /// The script defines no function with the expected name and number of parameters.
    #[error("the script defines no function `{FUNCTION_NAME}(view)`")]
    NoFunction,
}

/// The reasons for which a call of a script returned no number.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Evaluation(#[from] Box<EvalAltResult>),
    #[error("the script returned a value of type {0}, not a number")]
    NotANumber(&'static str),
}

/// An operator's lending script. Its function `portion(view)` returns the number of tasks to lend.
///
/// The script receives only numbers, and both its operations and its memory are bounded. If a call fails or
/// does not return a number, nothing is lent.
pub struct LendingScript {
    engine: Engine,
    program: AST,
    /// Whether a failed call has been logged. Only the first failure is logged.
    failure_logged: AtomicBool,
}

impl LendingScript {
    /// Parses a script and checks that it defines the function `portion(view)`.
    pub fn parse(text: &str) -> Result<LendingScript, ScriptError> {
        let engine = sandboxed_engine();
        let program = engine.compile(text).map_err(|error| ScriptError::Syntax(error.to_string()))?;
        let is_entry_point =
            |function: rhai::ScriptFnMetadata| function.name == FUNCTION_NAME && function.params.len() == 1;
        if !program.iter_functions().any(is_entry_point) {
            return Err(ScriptError::NoFunction);
        }
        Ok(LendingScript { engine, program, failure_logged: AtomicBool::new(false) })
    }

    /// The number of tasks to lend according to the script, limited as for the built-in policy. Returns 0 if
    /// the call fails; only the first failure is logged.
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
        let result: Dynamic =
            self.engine.call_fn(&mut Scope::new(), &self.program, FUNCTION_NAME, arguments)?;
        let wanted = result.as_float().or_else(|_| result.as_int().map(|count| count as f64));
        wanted.map_err(CallError::NotANumber)
    }
}

impl std::fmt::Debug for LendingScript {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LendingScript").finish_non_exhaustive()
    }
}

/// Creates an engine that bounds the run time and memory of a script and discards its output.
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

/// The inputs under the names that operators' scripts use. The names are part of the public interface.
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
