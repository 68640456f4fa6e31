//! Two cells. A user withdraws a job as the leader of its cell lends tasks of it, and the state service is slow
//! for a moment: the leader hears late that its loan is written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::{brno_settings, Addresses, Cell, Jobs};
use crate::recall::{array, boxes, operator};
use crate::store::Fate;
use crate::{Outcome, Run};

const JOB: &str = "wk-000201";
const OTHER: &str = "wk-000202";
const TASKS: u32 = 96;
/// How late the answer to the loan's transaction is.
const LATE: Duration = Duration::from_millis(400);
/// How late the answers to the leader's watches are at that time.
const WATCH_LATE: Duration = Duration::from_millis(60);
/// For how long users repeat a request that gets no final answer.
const REPEATED_FOR: Duration = Duration::from_secs(60);

/// Whether a transaction adds a loan to the job's record.
fn lends(txn: &Value) -> bool {
    let key = format!("job/{JOB}");
    let changes = txn["then"].as_array().into_iter().flatten();
    let mut records = changes.filter(|change| change["put"] == key.as_str());
    records
        .any(|change| change["value"]["lending"]["loans"].as_array().is_some_and(|loans| !loans.is_empty()))
}

/// Withdraws a job, again and again as users do, until the answer is 200. Returns after how long.
fn withdraw(cell: &Cell, first: usize, job: &str) -> Option<Duration> {
    let began = Instant::now();
    let mut node = first;
    while began.elapsed() < REPEATED_FOR {
        let answer = cell.user(node, "POST", &format!("/api/jobs/{job}/withdraw"), None);
        if answer.is_some_and(|(status, _)| status == 200) {
            return Some(began.elapsed());
        }
        std::thread::sleep(Duration::from_secs(1));
        node = (node + 1) % cell.controllers.len();
    }
    None
}

pub fn run(run: &Run) -> Outcome {
    let teams = json!([{"name": "settle-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]);
    let zones = ["morava-dc", "praha-dc"];
    let (jobs, jobs_there) = (Arc::new(Jobs::default()), Arc::new(Jobs::default()));
    let (north_at, south_at) = (Addresses::choose(3), Addresses::choose(3));
    let cell = |name: &str, at: &Addresses, operator: String, jobs: &Arc<Jobs>| {
        Cell::start(
            name,
            brno_settings(&zones, teams.clone()),
            at,
            boxes(2),
            &[2],
            Some(operator),
            jobs.clone(),
            run.record.clone(),
            &run.dir,
        )
    };
    let north = cell("north", &north_at, operator("north", "south", &south_at, true, 15, 64), &jobs);
    let south = cell("south", &south_at, operator("south", "north", &north_at, false, 15, 64), &jobs_there);
    if !north.wait_until_up(Duration::from_secs(20)) || !south.wait_until_up(Duration::from_secs(20)) {
        return Outcome::CouldNotRun("no leader".into());
    }
    let Some(leader) = north.leader() else { return Outcome::CouldNotRun("no leader".into()) };
    let follower = (leader + 1) % 3;
    let lent = Arc::new(AtomicBool::new(false));
    let (hook_lent, trouble, record) = (lent.clone(), run.trouble, run.record.clone());
    north.store.set_hook(move |client, txn| {
        if !lends(txn) || hook_lent.swap(true, Ordering::Relaxed) {
            return Fate::Normal;
        }
        record.line(&format!("note  {client} lends tasks of {JOB}: {txn}"));
        if trouble {
            Fate::AnsweredAfter(LATE)
        } else {
            Fate::Normal
        }
    });
    if run.trouble {
        north.store.slow_watches(Some((north.controllers[leader].label.clone(), WATCH_LATE)));
    }
    for (id, kernels) in [(JOB, TASKS), (OTHER, 2)] {
        let spec = array(id, kernels, 8.0);
        jobs.add(&spec, 8.0, false);
        jobs_there.add(&spec, 8.0, false);
        if !north.submit(follower, &spec) {
            return Outcome::CouldNotRun("a job was not accepted".into());
        }
    }
    let began = Instant::now();
    while !lent.load(Ordering::Relaxed) {
        if began.elapsed() > Duration::from_secs(30) {
            return Outcome::CouldNotRun("nothing was lent".into());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    // The user asks at the moment of the loan.
    let answered = withdraw(&north, follower, JOB);
    north.store.slow_watches(None);
    let other = withdraw(&north, follower, OTHER);
    run.record.line(&format!("withdrawn: {JOB} after {answered:?}, {OTHER} after {other:?}"));
    run.record.line(&format!(
        "tasks of {JOB} done: north {}, south {}",
        jobs.done_tasks(JOB),
        jobs_there.done_tasks(JOB)
    ));
    if other.is_none() {
        return Outcome::CouldNotRun("the cell answers no withdrawal".into());
    }
    if answered.is_none() {
        run.record.broken(&format!(
            "withdraw: {JOB} gets neither `cancelled` nor `done` for {} s, {OTHER} does",
            REPEATED_FOR.as_secs()
        ));
    }
    Outcome::Held
}
