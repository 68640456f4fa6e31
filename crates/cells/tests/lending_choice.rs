//! What is lent: the built-in choice, its hysteresis, and operators' scripts with their bounds.

use milletlock_cells::{BacklogGate, LendingView, Script, ScriptError, MAX_PORTION};

/// A cell with four drain times of backlog, and a guest with room.
fn view() -> LendingView {
    LendingView {
        backlog_s: 180.0,
        drain_s: 45.0,
        lendable: 100,
        task_cpus: 2.0,
        task_s: 30.0,
        waited_s: 12.0,
        guest_spare_cpus: 64.0,
        guest_backlog_s: 0.0,
    }
}

#[test]
fn a_portion_fits_the_room_and_one_loan() {
    assert_eq!(view().portion(), 32, "as many as have room");
    assert_eq!(LendingView { guest_spare_cpus: 1e6, ..view() }.portion(), 88, "no more than the surplus");
    let wide = LendingView { guest_spare_cpus: 1e6, lendable: 50_000, ..view() };
    assert_eq!(wide.portion(), MAX_PORTION);
    assert_eq!(LendingView { guest_spare_cpus: 1.0, ..view() }.portion(), 0, "no room for one task");
}

#[test]
fn full_cells_leave_each_other_alone() {
    assert_eq!(LendingView { guest_backlog_s: 20.0, ..view() }.portion(), 0);
    assert_eq!(LendingView { backlog_s: 0.0, ..view() }.portion(), 0);
    assert_eq!(LendingView { backlog_s: 20.0, ..view() }.portion(), 0, "drains in time");
}

#[test]
fn lending_begins_late_and_ends_later() {
    let mut gate = BacklogGate::default();
    assert!(!gate.update(44.0, 45.0));
    assert!(gate.update(46.0, 45.0));
    assert!(gate.update(30.0, 45.0), "near the limit it goes on");
    assert!(!gate.update(20.0, 45.0));
    assert!(!gate.update(30.0, 45.0), "and does not begin again at once");
}

#[test]
fn a_script_chooses_within_the_bounds() {
    let script = |text: &str| Script::parse(text).expect("a script");
    assert_eq!(script("fn portion(view) { view.lendable / 10.0 }").portion(&view()), 10);
    assert_eq!(script("fn portion(view) { 7 }").portion(&view()), 7);
    assert_eq!(script("fn portion(view) { view.default_portion }").portion(&view()), 32);
    assert_eq!(script("fn portion(view) { 1000000 }").portion(&view()), 32, "never more than has room");
    assert_eq!(script("fn portion(view) { -3 }").portion(&view()), 0);
}

#[test]
fn a_script_that_fails_lends_nothing() {
    let bad = [
        "fn portion(view) { \"many\" }",
        "fn portion(view) { view.nothing * 2 }",
        "fn portion(view) { loop { } }",
        "fn portion(view) { portion(view) }",
        "fn portion(view) { let a = []; loop { a.push(1); } }",
        "fn portion(view) { let s = \"x\"; loop { s += s; } }",
        "fn portion(view) { 0.0 / 0.0 }",
        "fn portion(view) { throw \"no\" }",
    ];
    for text in bad {
        let script = Script::parse(text).expect("a script");
        assert_eq!(script.portion(&view()), 0, "{text}");
    }
}

#[test]
fn a_script_that_cannot_be_used_is_refused_when_it_is_read() {
    assert!(matches!(Script::parse("fn portion(view { 1 }"), Err(ScriptError::Syntax(_))));
    assert!(matches!(Script::parse("fn share(view) { 1 }"), Err(ScriptError::NoFunction)));
    assert!(matches!(Script::parse("fn portion() { 1 }"), Err(ScriptError::NoFunction)));
    assert!(matches!(Script::parse("fn portion(view) { eval(\"1\") }"), Err(ScriptError::Syntax(_))));
}
