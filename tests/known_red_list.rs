//! `.ci/known-red --check`: which lists of known red tests have the required format.

use std::path::Path;
use std::process::Command;

const VALID_ENTRY: &str =
    "loans::some_test | cargo test --test loans some_test, seed 3 | it failed | issue 35";

/// Runs `.ci/known-red --check` on a list; returns whether it succeeded, and its output.
fn check(list: &str) -> (bool, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = std::env::temp_dir().join(format!("milletlock-list-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join(format!("{:016x}.txt", rand::random::<u64>()));
    std::fs::write(&file, list).expect("the file is written");
    let script = root.join(".ci/known-red");
    let output = Command::new("bash").arg(script).arg("--check").arg(&file).output().expect("bash runs");
    let _ = std::fs::remove_file(&file);
    let printed = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&printed).into_owned())
}

#[test]
fn any_number_of_valid_entries_is_accepted_and_counted() {
    let entry = |n: usize| VALID_ENTRY.replace("some_test", &format!("test_{n}"));
    let list: Vec<String> = (0..20).map(entry).collect();
    let (is_valid, printed) = check(&list.join("\n"));
    assert!(is_valid && printed.contains("20 listed"), "{printed}");
    let in_package = VALID_ENTRY.replace("loans::", "crates/cells/random_worlds::");
    assert!(check(&in_package).0);
}

#[test]
fn a_malformed_entry_is_refused_with_its_line_number() {
    let malformed = [
        "nonsense",
        "",
        "loans::some_test | it failed | issue 35",
        "loans::some_test | a command |  | issue 35",
        "loans::some_test |  | it failed | issue 35",
        "loans | a command | it failed | issue 35",
        "loans::some_test | a command | it failed | issue x",
        "loans::some_test | a command | it failed | issue 0",
        "loans::some_test | a command | it failed | 35",
        "loans::some_test | a command | it failed | issue 35 | more",
        "crates/none/loans::some_test | a command | it failed | issue 35",
        "at times | loans::some_test | a command | it failed | issue 35",
        "sometimes | loans::some_test | a command, seed 3 | it failed | issue 35",
        VALID_ENTRY,
    ];
    for line in malformed {
        let (is_valid, printed) = check(&format!("{VALID_ENTRY}\n{line}\n"));
        assert!(!is_valid && printed.contains("line 2"), "{line:?}: {printed}");
    }
}

#[test]
fn an_entry_marked_at_times_with_a_seed_or_a_trace_is_accepted() {
    assert!(check(&format!("at times | {VALID_ENTRY}")).0);
    let traced = "at times | loans::some_test | a command | see docs/incidents/some-trace.md | issue 35";
    assert!(check(traced).0);
}
