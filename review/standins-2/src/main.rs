//! Runs one case of the review: `review-2 CASE RECORD FOLDER`. The variable `MILLETLOCK` names the program
//! under test; with `TROUBLE=0` the case runs without its disruption. Exits with 0 if the rule held, with 1 if
//! it was broken and with 2 if the case could not run.

mod cell;
mod cloud;
mod http;
mod link;
mod random;
mod random2;
mod readback;
mod recall;
mod record;
mod store;
mod withdraw;
mod worker;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case finds.
pub enum Outcome {
    /// The rules that were checked held.
    Held,
    /// The case could not run.
    CouldNotRun(String),
}

/// The surroundings of a case.
pub struct Run {
    pub record: Arc<Record>,
    /// A temporary folder.
    pub dir: String,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, dir] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = Run { record: Arc::new(Record::new(record)), dir: dir.clone(), trouble };
    run.record.line(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "random2" => random2::run(&run),
        "random" => random::run(&run),
        "withdraw" => withdraw::run(&run),
        "readback" => readback::run(&run),
        "recall" => recall::run(&run),
        _ => Outcome::CouldNotRun("no such case".into()),
    };
    let broken = run.record.broken_rules();
    if !broken.is_empty() {
        println!("broken: {} times, first: {}", broken.len(), broken[0]);
        return ExitCode::from(1);
    }
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::CouldNotRun(why) => {
            run.record.line(&format!("could not run: {why}"));
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
