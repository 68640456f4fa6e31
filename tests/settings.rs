//! Parsing and validation of the settings. A mistake is reported in one line that names the field.

mod common;

use common::platform_json;
use milletlock::config::{Config, ObjectiveKind, OperatorConfig, PlatformConfig};
use milletlock::state::RateShares;
use serde_json::{json, Value};

/// The error text for the platform's settings `v`; empty if they are valid.
fn error_of(v: &Value) -> String {
    PlatformConfig::parse(&v.to_string(), "f.json").err().map(|e| e.to_string()).unwrap_or_default()
}

/// Valid platform settings with the value at a path changed.
fn with(path: &[&str], v: Value) -> Value {
    let mut p = platform_json();
    let last = path.iter().fold(&mut p, |at, k| &mut at[*k]);
    *last = v;
    p
}

#[test]
fn valid_settings_with_unknown_fields_are_accepted() {
    assert_eq!(error_of(&platform_json()), "");
}

#[test]
fn the_error_for_a_mistake_names_the_field() {
    let s = "settings";
    let cases = [
        (with(&["label"], json!("")), "label"),
        (with(&["serve_on"], json!("somewhere")), "serve_on"),
        (with(&["members"], json!([{"label": "c-0", "addr": "1.2.3.4:5"}])), "members[0].label"),
        (with(&[s, "teams"], json!([{"name": "a"}, {"name": "a"}])), "settings.teams[1].name"),
        (with(&[s, "teams"], json!([{"name": "a", "cpus_max": -1.0}])), "settings.teams[0].cpus_max"),
        (with(&[s, "workers", "lease_s"], json!(0.0)), "settings.workers.lease_s"),
        (with(&[s, "workers", "cancel_s"], json!(10.0)), "settings.workers.cancel_s"),
        (with(&[s, "workers", "cancel_s"], json!(24.0)), "settings.workers.cancel_s"),
        (with(&[s, "workers", "report_s"], json!(18.0)), "settings.workers.report_s"),
        (with(&[s, "state", "rps"], json!(0)), "settings.state.rps"),
        (with(&[s, "state", "txn_ops"], json!(1)), "settings.state.txn_ops"),
        (with(&[s, "cloud", "rps"], json!(-3)), "settings.cloud.rps"),
        (with(&[s, "limits", "max_sockets"], json!(2)), "settings.limits.max_sockets"),
    ];
    for (v, field) in cases {
        let e = error_of(&v);
        assert!(e.contains(field.rsplit('.').next().unwrap_or(field)) && !e.contains('\n'), "{field}: {e:?}");
    }
}

/// Guards against a validation that refuses settings which are unusual but usable: one zone or none, no team,
/// a heartbeat interval just below four fifths of the lease, less than a second for which the leader may act
/// without the state store, and limits of zero.
#[test]
fn unusual_but_usable_settings_are_accepted() {
    let s = "settings";
    for v in [
        with(&[s, "zones"], json!(["north"])),
        with(&[s, "zones"], json!([])),
        with(&[s, "teams"], json!([])),
        with(&[s, "teams"], json!([{"name": "a", "cpus": 4.0, "cpus_max": 0.0}])),
        with(&[s, "objectives"], json!([{"kind": "unheard of", "share": 0.5}])),
        with(&[s, "workers", "report_s"], json!(17.0)),
        with(&[s, "workers", "cancel_s"], json!(25.0)),
        with(&[s, "cloud", "list_lag_s"], json!(0.0)),
        with(&[s, "initial_size"], json!(0)),
    ] {
        assert_eq!(error_of(&v), "", "{v}");
    }
}

#[test]
fn the_kind_of_an_objective_is_read_by_its_name_and_must_be_a_string() {
    let kind_of = |name: &str| {
        let settings = with(&["settings", "objectives"], json!([{"kind": name, "class": "quick"}]));
        let platform = PlatformConfig::parse(&settings.to_string(), "f.json").expect("settings");
        platform.settings.objectives[0].kind
    };
    assert_eq!(kind_of("wait"), ObjectiveKind::Start);
    assert_eq!(kind_of("finished"), ObjectiveKind::End);
    assert_eq!(kind_of("deadline"), ObjectiveKind::Deadline);
    assert_eq!(kind_of("unheard of"), ObjectiveKind::Unknown);
    let error = error_of(&with(&["settings", "objectives"], json!([{"kind": 5}])));
    assert!(error.contains("settings.objectives[0].kind"), "{error:?}");
    assert!(error.contains("invalid type: integer `5`, expected a string"), "{error:?}");
}

/// Without the warning, settings that are too small would be noticed only when workers are refused.
#[test]
fn settings_that_are_too_small_for_4000_machines_are_named_in_one_line() {
    let warning = |limits: Value, state: Value, cloud: Value| {
        let mut p = platform_json();
        p["settings"]["limits"] = limits;
        p["settings"]["state"] = state;
        p["settings"]["cloud"] = cloud;
        let platform = PlatformConfig::parse(&p.to_string(), "f.json").expect("settings");
        Config { platform, operator: OperatorConfig::default() }.fleet_size_warning()
    };
    let limits = json!({"cpu": 0.5, "ram_mb": 200.0, "max_sockets": 5_000});
    let state = json!({"rps": 150.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12});
    let cloud = json!({"rps": 3.0, "list_lag_s": 8.0});
    assert_eq!(warning(limits.clone(), state.clone(), cloud.clone()), None);
    let few_sockets = json!({"cpu": 0.5, "ram_mb": 200.0, "max_sockets": 1_200});
    let text = warning(few_sockets, state.clone(), cloud.clone()).expect("a warning");
    assert!(text.contains("settings.limits.max_sockets (911 machines)") && !text.contains("ram"), "{text}");
    let low_cpu_and_memory = json!({"cpu": 0.05, "ram_mb": 40.0, "max_sockets": 5_000});
    let text = warning(low_cpu_and_memory, state, cloud).expect("a warning");
    assert!(
        text.contains("limits.ram_mb (2000 machines)") && text.contains("limits.cpu (1500 machines)"),
        "{text}"
    );
    let slow_state = json!({"rps": 150.0, "write_rps": 2.0, "value_kb": 4.0, "txn_ops": 12});
    let slow_cloud = json!({"rps": 0.5, "list_lag_s": 8.0});
    let text = warning(limits, slow_state, slow_cloud).expect("a warning");
    assert!(text.contains("state.write_rps (3000 machines)") && text.contains("cloud.rps (1500"), "{text}");
    assert!(!text.contains('\n'));
}

#[test]
fn the_error_for_a_mistake_in_the_operators_settings_names_the_field() {
    let error_of =
        |t: &str| OperatorConfig::parse(t, "f.hcl").err().map(|e| e.to_string()).unwrap_or_default();
    assert_eq!(error_of(""), "");
    assert_eq!(error_of("idle_s = 10\nkeep_clear = 2\nadjust = false\n"), "");
    assert!(error_of("idle_z = 10").contains("idle_z"));
    assert!(error_of("idle_s = \"soon\"").contains("idle_s"));
    assert!(error_of("leader_ttl_s = 0.2").contains("leader_ttl_s"));
    for wrong in ["max_threads = 10", "max_threads = 2000", "max_connections = 1"] {
        assert!(error_of(wrong).contains(wrong.split(' ').next().unwrap_or("")), "{wrong}");
    }
    assert!(error_of("history_per_key = 3").contains("history_per_key"));
    assert!(!error_of("idle_s = ").is_empty());
}

#[test]
fn the_example_settings_of_cells_are_valid() {
    let example = OperatorConfig::parse(include_str!("../deploy/cells.hcl"), "cells.hcl").expect("settings");
    let cells = example.cells.expect("cells");
    assert_eq!((cells.name.as_str(), cells.others.len(), cells.addresses().len()), ("north", 2, 6));
    assert!(cells.script.is_some_and(|script| script.contains("default_portion")));
}

#[test]
fn the_error_for_a_mistake_in_the_settings_of_cells_names_the_field() {
    let error_of = |cells: &str| {
        let text = format!("cells {{\n{cells}\n}}\n");
        OperatorConfig::parse(&text, "f.hcl").err().map(|e| e.to_string()).unwrap_or_default()
    };
    let other = |name: &str| format!("{{ name = \"{name}\", controllers = [\"127.0.0.1:8081\"] }}");
    let valid = format!("name = \"a\"\nothers = [{}]", other("b"));
    assert_eq!(error_of(&valid), "");
    assert_eq!(error_of(&format!("{valid}\nscript = \"fn portion(view) {{ 1 }}\"")), "");
    let cases = [
        (format!("name = \"a\"\nothers = [{}, {}]", other("b"), other("b")), "cells.others[1].name"),
        (format!("name = \"a\"\nothers = [{}]", other("a")), "cells.others[0].name"),
        (format!("name = \"A b\"\nothers = [{}]", other("b")), "cells.name"),
        ("name = \"a\"\nothers = [{ name = \"b\", controllers = [] }]".into(), "cells.others[0].controllers"),
        ("name = \"a\"\nothers = [{ name = \"b\", controllers = [\"here\"] }]".into(), "controllers"),
        (format!("{valid}\nborrow_cpus = -1"), "cells.borrow_cpus"),
        (format!("{valid}\nlend_after_s = -1"), "cells.lend_after_s"),
        (format!("{valid}\nlent = []"), "lent"),
        (format!("{valid}\nscript = \"fn portion(view {{ 1 }}\""), "cells.script"),
        (format!("{valid}\nscript = \"fn share(view) {{ 1 }}\""), "cells.script"),
    ];
    for (cells, field) in cases {
        let error = error_of(&cells);
        assert!(error.contains(field) && !error.contains('\n'), "{cells}: {error}");
    }
}

#[test]
fn the_server_limits_stay_within_the_limits_of_sockets_memory_and_threads() {
    let capacity = |sockets: usize, ram: f64, operator: &str| {
        let mut p = platform_json();
        p["settings"]["limits"] = json!({ "cpu": 0.1, "ram_mb": ram, "max_sockets": sockets });
        let platform = PlatformConfig::parse(&p.to_string(), "f.json").expect("settings");
        Config { platform, operator: OperatorConfig::parse(operator, "f.hcl").expect("settings") }
            .server_limits()
    };
    // One controller has connections for all workers and users. `machines` is half as many again as the
    // largest fleet known for such limits.
    for (sockets, ram, machines) in [(2877, 158.0, 1822), (3592, 188.0, 2268)] {
        let r = capacity(sockets, ram, "");
        assert!(
            r.background_connections > machines && r.connections > r.background_connections + 200,
            "{r:?}"
        );
        // The sockets also suffice for one connection to the state store for each thread that handles users.
        assert!(r.connections + r.interactive_threads + 32 <= sockets, "{r:?}");
        assert!(r.interactive_threads + r.background_threads < 224, "{r:?}");
    }
    for (sockets, ram, operator) in
        [(16, 100.0, ""), (500, 2.0, ""), (500, 100.0, "max_threads = 42"), (40, 9.0, "max_connections = 2")]
    {
        let r = capacity(sockets, ram, operator);
        assert!(r.connections > r.background_connections || r.connections < 8, "{r:?}");
        assert!(
            r.background_connections > 0 && r.interactive_threads > 0 && r.background_threads > 0,
            "{r:?}"
        );
    }
    assert_eq!(capacity(500, 100.0, "max_connections = 80").connections, 80);
}

/// Valid platform settings with one field in `next`, the state store's next limits.
fn with_next(field: &str, v: Value) -> Value {
    with(&["settings", "state", "next"], json!({ field: v }))
}

/// Guards against accepting next limits under which the controller could not write its records, and against
/// an error that names the current limit instead.
#[test]
fn next_limits_that_are_too_small_are_refused_with_the_name_of_the_field() {
    let cases = [
        (with_next("value_kb", json!(0.5)), "settings.state.next.value_kb"),
        (with_next("value_kb", json!(0)), "settings.state.next.value_kb"),
        (with_next("txn_ops", json!(3)), "settings.state.next.txn_ops"),
        (with_next("rps", json!(0)), "settings.state.next.rps"),
        (with_next("write_rps", json!(-1)), "settings.state.next.write_rps"),
        (with_next("txn_ops", json!("few")), "settings.state.next.txn_ops"),
    ];
    for (v, field) in cases {
        let e = error_of(&v);
        assert!(e.contains(field) && !e.contains('\n'), "{field}: {e:?}");
    }
    for (field, v) in [("value_kb", json!(1)), ("txn_ops", json!(4)), ("rps", json!(1)), ("later", json!(1))]
    {
        assert_eq!(error_of(&with_next(field, v)), "");
    }
    assert_eq!(error_of(&with(&["settings", "state", "next"], json!(null))), "");
}

/// Guards against using next limits that are larger than the current ones before they take effect.
#[test]
fn values_and_transactions_stay_within_the_smaller_of_the_current_and_the_next_limits() {
    let of = |next: Value| {
        let v = with(&["settings", "state", "next"], next);
        let platform = PlatformConfig::parse(&v.to_string(), "f.json").expect("settings");
        let c = Config { platform, operator: OperatorConfig::default() };
        (c.max_value_bytes(), c.max_txn_ops(), c.platform.settings.state.next_rates())
    };
    assert_eq!(of(json!(null)), (4096, 8, RateShares { requests: 1.0, writes: 1.0 }));
    assert_eq!(
        of(json!({"value_kb": 2, "txn_ops": 5})),
        (2048, 5, RateShares { requests: 1.0, writes: 1.0 })
    );
    assert_eq!(
        of(json!({"value_kb": 64, "txn_ops": 50, "rps": 900})),
        (4096, 8, RateShares { requests: 1.0, writes: 1.0 })
    );
    assert_eq!(
        of(json!({"rps": 250, "write_rps": 100})),
        (4096, 8, RateShares { requests: 0.5, writes: 0.2 })
    );
}

/// Guards against a program that keeps running despite a mistake in the settings, or prints more than one
/// line.
#[test]
fn the_check_command_refuses_small_next_limits_with_one_line_and_exit_code_2() {
    let file = |name: &str, v: Value| {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, v.to_string()).expect("the file is written");
        path
    };
    let check = |path: &std::path::Path| {
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"));
        let program = program.env_remove("MILLETLOCK_OPERATOR").arg("check").arg("--config").arg(path);
        let output = program.output().expect("the program runs");
        (output.status.code(), String::from_utf8(output.stderr).expect("text"))
    };
    let cases = [("value_kb", json!(0.25)), ("txn_ops", json!(2))];
    for (field, v) in cases {
        let (code, error) = check(&file(&format!("next_{field}.json"), with_next(field, v)));
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
        assert!(error.contains(&format!("settings.state.next.{field}")), "{error}");
    }
    assert_eq!(check(&file("next.json", with_next("value_kb", json!(2)))), (Some(0), String::new()));
}
