//! Parsing and validation of submissions: which fields are required and which values they may have. Also
//! checks that this version reads records written by earlier versions.

mod common;

use common::{config, spec, types};
use milletlock::fleet::check_runnable;
use milletlock::records::JobRecord;
use milletlock::wire::{JobSpec, Shape};
use serde_json::{json, Value};

/// Fields that may be null or left out, by their names on the wire. Together with [`REQUIRED`] these are all
/// fields of a submission. They are listed here so that the tests also check the program's own list.
const MAY_BE_NULL: [&str; 3] = ["breeds", "field", "dueS"];
/// Fields that a submission must contain, by their names on the wire.
const REQUIRED: [&str; 17] = [
    "nameId",
    "grain",
    "owner",
    "shape",
    "rank",
    "kernels",
    "cpus",
    "cards",
    "ramGb",
    "seed",
    "pullGb",
    "oneZone",
    "spread",
    "gleanings",
    "expectS",
    "stashEveryS",
    "stashS",
];
/// Fields whose values are numbers of at least zero that may be fractions; `dueS`, which may be null, is not
/// among them.
const AMOUNTS: [&str; 7] = ["cpus", "cards", "ramGb", "pullGb", "expectS", "stashEveryS", "stashS"];

/// A valid submission with all fields.
fn full() -> Value {
    json!({
        "nameId": "wk-000412", "grain": "train", "owner": "vision", "shape": "gang", "rank": "urgent",
        "kernels": 4, "cpus": 8.0, "cards": 1.0, "ramGb": 64.0, "seed": "img-07", "pullGb": 6.2,
        "breeds": ["large"], "field": "north", "oneZone": true, "spread": false, "gleanings": true,
        "expectS": 240.0, "stashEveryS": 30.0, "stashS": 4.0, "dueS": 900.0
    })
}

/// A valid submission with one field changed.
fn with(name: &str, v: Value) -> Value {
    let mut job = full();
    job[name] = v;
    job
}

/// A valid submission without one field.
fn without(name: &str) -> Value {
    let mut job = full();
    job.as_object_mut().expect("an object").remove(name);
    job
}

fn parse(v: &Value) -> Result<JobSpec, String> {
    JobSpec::parse(v.to_string().as_bytes()).map_err(|e| e.to_string())
}

/// Asserts that a submission is refused with a reason of one line that begins with the field's name. Returns
/// the reason.
fn refusal_reason(name: &str, v: &Value) -> String {
    let reason = parse(v).expect_err(&format!("accepted: {v}"));
    assert!(reason.starts_with(name) && !reason.contains('\n'), "{v}: {reason:?}");
    reason
}

#[test]
fn each_field_is_either_required_or_may_be_null() {
    let all: Vec<String> = full().as_object().expect("an object").keys().cloned().collect();
    assert_eq!(all.len(), MAY_BE_NULL.len() + REQUIRED.len());
    assert!(all.iter().all(|n| MAY_BE_NULL.contains(&n.as_str()) != REQUIRED.contains(&n.as_str())));
    parse(&full()).expect("a valid submission");
    for name in REQUIRED {
        assert_eq!(refusal_reason(name, &without(name)), format!("{name}: missing"));
        assert_eq!(refusal_reason(name, &with(name, Value::Null)), format!("{name}: missing"));
    }
    for name in MAY_BE_NULL {
        let (left_out, null) = (parse(&without(name)), parse(&with(name, Value::Null)));
        assert_eq!(left_out, null);
        null.unwrap_or_else(|e| panic!("{name} may be null: {e}"));
    }
    let mut minimal = full();
    MAY_BE_NULL.iter().for_each(|n| drop(minimal.as_object_mut().and_then(|o| o.remove(*n))));
    let minimal = parse(&minimal).expect("a submission without the fields that may be null");
    assert_eq!((minimal.types, minimal.zone, minimal.deadline_s), (None, None, None));
}

#[test]
fn a_value_of_the_wrong_type_is_refused_in_every_field() {
    let object = json!({ "a": 1 });
    for name in REQUIRED.iter().chain(&MAY_BE_NULL) {
        let wrong = match *name {
            "oneZone" | "spread" | "gleanings" => vec![json!("true"), json!(1), json!([true])],
            "breeds" => vec![json!("large"), json!([1]), json!([null]), json!(true), json!([])],
            n if n == "kernels" || n == "dueS" || AMOUNTS.contains(&n) => {
                vec![json!("4.0"), json!(true), json!([4.0])]
            }
            "shape" => vec![json!(7), json!(["gang"]), json!({ "gang": null }), json!("cloud")],
            "rank" => vec![json!(7), json!(["idle"]), json!({ "idle": null }), json!("Idle")],
            _ => vec![json!(7), json!(true), json!(["x"]), json!("")],
        };
        for v in wrong.into_iter().chain([object.clone()]) {
            refusal_reason(name, &with(name, v));
        }
    }
}

#[test]
fn negative_infinite_and_out_of_range_numbers_are_refused() {
    for name in AMOUNTS.iter().chain(&["kernels", "dueS"]) {
        refusal_reason(name, &with(name, json!(-1)));
        refusal_reason(name, &with(name, json!(-0.5)));
        for not_finite in ["1e999", "-1e999", "NaN", "Infinity", "-Infinity"] {
            let text = with(name, json!("HERE")).to_string().replace("\"HERE\"", not_finite);
            let reason = JobSpec::parse(text.as_bytes()).expect_err(&text).to_string();
            assert!(!reason.is_empty() && !reason.contains('\n'), "{reason:?}");
        }
    }
    for tasks in [json!(0), json!(100_001), json!(4.5), json!(u64::MAX)] {
        refusal_reason("kernels", &with("kernels", tasks));
    }
    assert_eq!(parse(&with("kernels", json!(100_000))).expect("the maximum number of tasks").tasks, 100_000);
    // Numbers may be written without a decimal point.
    assert_eq!(parse(&with("cpus", json!(8))).expect("a whole number").cpus, 8.0);
}

#[test]
fn only_a_service_may_have_an_estimate_of_zero() {
    for shape in ["batch", "gang"] {
        let mut job = with("expectS", json!(0.0));
        job["shape"] = json!(shape);
        refusal_reason("expectS", &job);
    }
    for estimate in [0.0, 30.0] {
        let mut job = with("expectS", json!(estimate));
        job["shape"] = json!("daemon");
        let s = parse(&job).expect("a service");
        assert_eq!((s.shape, s.estimate_s), (Shape::Service, estimate));
        job["expectS"] = Value::Null;
        refusal_reason("expectS", &job);
    }
}

#[test]
fn a_refusal_reason_is_one_short_line_even_if_the_submission_is_long() {
    for name in ["shape", "rank"] {
        let reason = refusal_reason(name, &with(name, json!("\u{1}\n".repeat(15_000))));
        assert!(reason.chars().all(|c| !c.is_control()) && reason.len() < 1000, "{} bytes", reason.len());
    }
}

/// Guards against job records becoming unreadable after an upgrade: earlier versions accepted submissions
/// without some fields that are required now.
#[test]
fn a_record_without_fields_that_were_once_optional_can_still_be_read() {
    let old = json!({
        "nameId": "wk-000412", "owner": "vision", "shape": "batch", "rank": "normal", "kernels": 16,
        "cpus": 1.0
    });
    assert_eq!(refusal_reason("grain", &old), "grain: missing");
    let read = |spec: Value| -> JobRecord {
        let record = json!({ "spec": spec, "submitted_us": 5, "high": 2 });
        serde_json::from_value(record).expect("a record")
    };
    let s = read(old.clone()).spec;
    assert_eq!((s.tasks, s.cpus, s.gpus, s.memory_gb, s.image_gb), (16, 1.0, 0.0, 0.0, 0.0));
    assert_eq!((s.class, s.image, s.types, s.zone, s.deadline_s), (None, None, None, None, None));
    assert_eq!((s.one_zone, s.spread, s.spot), (false, false, false));
    assert_eq!((s.estimate_s, s.checkpoint_s, s.save_s), (0.0, 0.0, 0.0));
    for name in ["oneZone", "spread", "gleanings", "expectS", "stashEveryS", "stashS", "grain", "seed"] {
        let mut null = old.clone();
        null[name] = Value::Null;
        assert_eq!(read(null).spec, read(old.clone()).spec, "{name}");
    }
    // Records that this version writes are read back unchanged.
    let r = common::record(spec_of_full());
    assert_eq!(serde_json::from_value::<JobRecord>(json!(r)).expect("a record").spec, r.spec);
    assert_eq!(read(json!(spec(3, 1, "gang"))).spec, spec(3, 1, "gang"));
}

fn spec_of_full() -> JobSpec {
    parse(&full()).expect("a good submission")
}

#[test]
fn the_example_in_the_readme_is_a_valid_job() {
    let readme = include_str!("../README.md");
    let (_, after) = readme.split_once("`job.json` holds a submission").expect("the example");
    let block = after.lines().skip_while(|l| !l.starts_with("    "));
    let example: String = block.take_while(|l| l.starts_with("    ")).collect();
    let s = JobSpec::parse(example.as_bytes()).expect("a valid job");
    assert_eq!(s.id, "wk-000412");
}

#[test]
fn a_job_whose_task_fits_no_machine_that_it_may_use_is_not_runnable() {
    let (cfg, mut types) = (config(), types());
    types[1].zones = vec!["north".into()];
    let check = |change: fn(&mut JobSpec)| {
        let mut s = spec(1, 8, "batch");
        change(&mut s);
        check_runnable(&s, &cfg, &types)
    };
    assert_eq!(check(|_| ()), Ok(()));
    assert_eq!(check(|s| s.cpus = 16.0), Ok(()));
    assert!(check(|s| s.cpus = 16.5).is_err());
    assert!(check(|s| s.memory_gb = 32.5).is_err());
    assert!(check(|s| s.gpus = 0.5).is_err());
    // The task fits a machine, but none of the allowed types or in the only allowed zone.
    assert!(check(|s| (s.cpus, s.types) = (16.0, Some(vec!["small".into()]))).is_err());
    assert!(check(|s| (s.cpus, s.zone) = (16.0, Some("south".into()))).is_err());
    assert_eq!(check(|s| (s.cpus, s.zone) = (16.0, Some("north".into()))), Ok(()));
    assert!(check(|s| s.types = Some(vec!["unheard".into()])).is_err());
    assert_eq!(check(|s| s.types = Some(vec!["unheard".into(), "small".into()])), Ok(()));
    assert!(check(|s| s.zone = Some("moon".into())).is_err());
    assert!(check(|s| s.team = "nobody".into()).is_err());
    // The catalog does not say which types are available as ordinary machines, so this is not refused.
    assert_eq!(check(|s| s.spot = false), Ok(()));
}

#[test]
fn the_quota_must_allow_all_tasks_of_a_gang_or_service_and_one_task_of_an_array() {
    let (cfg, types) = (config(), types());
    let check = |shape: &str, tasks: u32, cpus: f64| {
        let mut s = spec(1, tasks, shape);
        (s.team, s.cpus) = ("tight".into(), cpus);
        check_runnable(&s, &cfg, &types)
    };
    for shape in ["gang", "daemon"] {
        assert_eq!(check(shape, 6, 1.0), Ok(()), "{shape}");
        assert!(check(shape, 7, 1.0).is_err_and(|reason| reason.to_string().contains("limit")), "{shape}");
    }
    assert_eq!(check("batch", 1000, 6.0), Ok(()));
    assert!(check("batch", 1, 6.5).is_err_and(|reason| reason.to_string().contains("limit")));
}
