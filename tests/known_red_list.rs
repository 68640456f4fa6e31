//! The form of the list of known red tests, as `.ci/known-red --check` sees it.

use std::path::Path;
use std::process::Command;

const GOOD: &str = "loans::some_test | cargo test --test loans some_test, seed 3 | it failed | issue 35";

/// Checks a list; its exit code and what it says.
fn check(list: &str) -> (bool, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = std::env::temp_dir().join(format!("milletlock-list-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join(format!("{:016x}.txt", rand::random::<u64>()));
    std::fs::write(&file, list).expect("written");
    let script = root.join(".ci/known-red");
    let output = Command::new("bash").arg(script).arg("--check").arg(&file).output().expect("bash");
    let _ = std::fs::remove_file(&file);
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

#[test]
fn any_number_of_entries_is_taken_and_counted() {
    let entry = |n: usize| GOOD.replace("some_test", &format!("test_{n}"));
    let list: Vec<String> = (0..20).map(entry).collect();
    let (is_good, said) = check(&list.join("\n"));
    assert!(is_good && said.contains("20 listed"), "{said}");
    let in_package = GOOD.replace("loans::", "crates/cells/random_worlds::");
    assert!(check(&in_package).0);
}

#[test]
fn a_malformed_entry_is_named_with_its_line() {
    let bad = [
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
        GOOD,
    ];
    for line in bad {
        let (is_good, said) = check(&format!("{GOOD}\n{line}\n"));
        assert!(!is_good && said.contains("line 2"), "{line:?}: {said}");
    }
}

#[test]
fn an_entry_that_fails_at_times_names_a_seed_or_a_trace() {
    assert!(check(&format!("at times | {GOOD}")).0);
    let traced = "at times | loans::some_test | a command | see docs/incidents/some-trace.md | issue 35";
    assert!(check(traced).0);
}
