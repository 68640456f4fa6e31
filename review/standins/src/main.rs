//! Runs a case: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod cell;
mod http;
mod record;
mod store;
mod world;

use std::path::Path;

/// The outcome of a run.
pub enum Outcome {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // The case has to end within 120 seconds, whatever happens.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(118));
        eprintln!("the case took too long");
        cell::end_all();
        std::process::exit(2);
    });
    let folder = std::env::temp_dir().join(format!("review-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let record = std::sync::Arc::new(record::Record::new(Path::new(path)));
    record.line(&format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let outcome = cases::run(case, trouble, &folder, &record);
    let (text, code) = match outcome {
        Outcome::Broken(text) => (format!("the rule was broken: {text}"), 1),
        Outcome::Held(text) => (format!("the rule held: {text}"), 0),
        Outcome::NotRun(text) => (format!("the case could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    std::process::exit(code);
}
