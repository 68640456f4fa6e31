//! The number of tasks to lend: the built-in policy, its hysteresis, and operators' scripts with their
//! bounds.

use milletlock_cells::{BacklogThreshold, LendingInputs, LendingScript, ScriptError, MAX_TASKS_PER_LOAN};

/// A cell whose backlog is four times the drain time, and a borrower with spare capacity.
fn inputs() -> LendingInputs {
    LendingInputs {
        backlog_s: 180.0,
        drain_s: 45.0,
        lendable: 100,
        task_cpus: 2.0,
        task_s: 30.0,
        waited_s: 12.0,
        borrower_spare_cpus: 64.0,
        borrower_backlog_s: 0.0,
    }
}

#[test]
fn a_loan_fits_the_borrowers_capacity_and_the_maximum_size() {
    assert_eq!(inputs().default_task_count(), 32, "as many as the borrower has capacity for");
    assert_eq!(
        LendingInputs { borrower_spare_cpus: 1e6, ..inputs() }.default_task_count(),
        88,
        "no more than the part of the backlog over half the drain time"
    );
    let wide = LendingInputs { borrower_spare_cpus: 1e6, lendable: 50_000, ..inputs() };
    assert_eq!(wide.default_task_count(), MAX_TASKS_PER_LOAN);
    assert_eq!(
        LendingInputs { borrower_spare_cpus: 1.0, ..inputs() }.default_task_count(),
        0,
        "no capacity for one task"
    );
}

#[test]
fn nothing_is_lent_if_the_borrower_is_busy_or_the_backlog_is_small() {
    assert_eq!(LendingInputs { borrower_backlog_s: 20.0, ..inputs() }.default_task_count(), 0);
    assert_eq!(LendingInputs { backlog_s: 0.0, ..inputs() }.default_task_count(), 0);
    assert_eq!(
        LendingInputs { backlog_s: 20.0, ..inputs() }.default_task_count(),
        0,
        "the backlog drains in time"
    );
}

#[test]
fn lending_starts_above_the_drain_time_and_ends_below_half_of_it() {
    let mut threshold = BacklogThreshold::default();
    assert!(!threshold.update(44.0, 45.0));
    assert!(threshold.update(46.0, 45.0));
    assert!(threshold.update(30.0, 45.0), "lending continues near the limit");
    assert!(!threshold.update(20.0, 45.0));
    assert!(!threshold.update(30.0, 45.0), "lending does not start again below the limit");
}

#[test]
fn the_result_of_a_script_is_bounded() {
    let script = |text: &str| LendingScript::parse(text).expect("a script");
    assert_eq!(script("fn portion(view) { view.lendable / 10.0 }").task_count(&inputs()), 10);
    assert_eq!(script("fn portion(view) { 7 }").task_count(&inputs()), 7);
    assert_eq!(script("fn portion(view) { view.default_portion }").task_count(&inputs()), 32);
    assert_eq!(
        script("fn portion(view) { 1000000 }").task_count(&inputs()),
        32,
        "no more than the borrower has capacity for"
    );
    assert_eq!(script("fn portion(view) { -3 }").task_count(&inputs()), 0);
}

#[test]
fn a_script_that_fails_lends_nothing() {
    let failing = [
        "fn portion(view) { \"many\" }",
        "fn portion(view) { view.nothing * 2 }",
        "fn portion(view) { loop { } }",
        "fn portion(view) { portion(view) }",
        "fn portion(view) { let a = []; loop { a.push(1); } }",
        "fn portion(view) { let s = \"x\"; loop { s += s; } }",
        "fn portion(view) { 0.0 / 0.0 }",
        "fn portion(view) { throw \"no\" }",
    ];
    for text in failing {
        let script = LendingScript::parse(text).expect("a script");
        assert_eq!(script.task_count(&inputs()), 0, "{text}");
    }
}

#[test]
fn parsing_refuses_invalid_scripts_and_scripts_without_the_function() {
    assert!(matches!(LendingScript::parse("fn portion(view { 1 }"), Err(ScriptError::Syntax(_))));
    assert!(matches!(LendingScript::parse("fn share(view) { 1 }"), Err(ScriptError::NoFunction)));
    assert!(matches!(LendingScript::parse("fn portion() { 1 }"), Err(ScriptError::NoFunction)));
    assert!(matches!(LendingScript::parse("fn portion(view) { eval(\"1\") }"), Err(ScriptError::Syntax(_))));
}
