//! Two cells. The borrower's leader gets no answer to the write of results and reads the borrowed job's record
//! back. The answer to this read is late, and meanwhile the leader returns recalled tasks.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::{brno_settings, Addresses, Cell, Jobs};
use crate::recall::{array, boxes, operator, returns_tasks};
use crate::store::Fate;
use crate::{Outcome, Run};

const JOB: &str = "wk-000301";
const TASKS: u32 = 240;
const RUN_S: f64 = 3.0;
/// How many tasks are done when the trouble begins.
const TROUBLE_AT: usize = 200;
/// How late the answers to reads of the borrowed job's record are.
const LATE: Duration = Duration::from_millis(450);
const LIMIT: Duration = Duration::from_secs(95);

pub fn run(run: &Run) -> Outcome {
    let teams = json!([{"name": "settle-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]);
    let zones = ["morava-dc", "praha-dc"];
    let (jobs, jobs_there) = (Arc::new(Jobs::default()), Arc::new(Jobs::default()));
    let (north_at, south_at) = (Addresses::choose(3), Addresses::choose(3));
    let cell = |name: &str, at: &Addresses, operator: String, jobs: &Arc<Jobs>, machines: usize| {
        Cell::start(
            name,
            brno_settings(&zones, teams.clone()),
            at,
            boxes(machines),
            &[machines],
            Some(operator),
            jobs.clone(),
            run.record.clone(),
            &run.dir,
        )
    };
    let north = cell("north", &north_at, operator("north", "south", &south_at, true, 2, 64), &jobs, 2);
    let south = cell("south", &south_at, operator("south", "north", &north_at, false, 2, 72), &jobs_there, 2);
    if !north.wait_until_up(Duration::from_secs(20)) || !south.wait_until_up(Duration::from_secs(20)) {
        return Outcome::CouldNotRun("no leader".into());
    }
    let key = format!("borrowed/job/{JOB}");
    let (begun, returned) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (hook_begun, hook_returned, hook_key) = (begun.clone(), returned.clone(), key.clone());
    let (trouble, record, mut known) = (run.trouble, run.record.clone(), Value::Null);
    south.store.set_hook(move |client, txn| {
        if returns_tasks(txn, &mut known, &hook_key) && !hook_returned.swap(true, Ordering::Relaxed) {
            record.line(&format!("note  {client} returns recalled tasks: {txn}"));
        }
        let is_done = txn["then"][0]["put"].as_str().is_some_and(|path| path.starts_with("borrowed/done/"));
        if trouble && is_done && hook_begun.load(Ordering::Relaxed) && !hook_returned.load(Ordering::Relaxed)
        {
            return Fate::Lost;
        }
        Fate::Normal
    });
    let spec = array(JOB, TASKS, 3.0);
    for jobs in [&jobs, &jobs_there] {
        jobs.add(&spec, RUN_S, false);
        jobs.vary(JOB);
    }
    if !north.submit(0, &spec) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    let began = Instant::now();
    let mut ended = None;
    while began.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(5));
        let done = jobs.done_tasks(JOB) + jobs_there.done_tasks(JOB);
        if run.trouble && done >= TROUBLE_AT && !begun.swap(true, Ordering::Relaxed) {
            run.record.line("fault south: transactions with results get no answer, reads are answered late");
            south.store.slow_reads(Some((key.clone(), LATE)));
        }
        if returned.load(Ordering::Relaxed) && ended.is_none() {
            run.record.line("fault south: transactions are answered again");
            ended = Some(Instant::now() + Duration::from_secs(1));
        }
        if ended.is_some_and(|at| Instant::now() > at) {
            south.store.slow_reads(None);
            ended = Some(Instant::now() + LIMIT);
            run.record.line("fault south: reads are answered at once again");
        }
        if done >= TASKS as usize || !run.record.broken_rules().is_empty() {
            break;
        }
    }
    run.record.line(&format!(
        "tasks done: north {}, south {}",
        jobs.done_tasks(JOB),
        jobs_there.done_tasks(JOB)
    ));
    if !returned.load(Ordering::Relaxed) {
        return Outcome::CouldNotRun("nothing was recalled".into());
    }
    Outcome::Held
}
