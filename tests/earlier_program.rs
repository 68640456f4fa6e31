//! The real program of an earlier version leads a cell that has tasks lent, between processes of this one.
//!
//! Run by hand: build the commit that `deploy/service.toml` names in a worktree of its own, then
//! `MILLETLOCK_EARLIER_PROGRAM=<its program> cargo test --test earlier_program -- --ignored --nocapture`.
//! `MILLETLOCK_0_3_0_PROGRAM` is the program of the last commit of 0.3.0.
//! `MILLETLOCK_SEEDS=1-5` chooses the moments at which the leader ends, `MILLETLOCK_CASE` a part of a case's name.

mod common;

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use common::cells::history::Exit;
use common::cells::{until, CellPlan, Cells};
use common::{production, spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

const JOB: &str = "wk-000001";
const TASKS: u32 = 240;
/// Tasks of a job that outlasts its loans.
const MANY_TASKS: u32 = 1000;
/// How long each of the two earlier leaders leads.
const EARLIER_LEADS: Duration = Duration::from_secs(6);

/// A busy cell with one controller, and one with capacity.
fn plans() -> [CellPlan; 2] {
    let plan =
        |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers: 1, ..CellPlan::default() };
    [plan(2, 0), plan(4, 60)]
}

fn tasks_in(cells: &Cells, prefix: &str) -> BTreeSet<u32> {
    let rows = cells.rows(0, &format!("{prefix}/{JOB}/"));
    rows.iter().flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text"))).collect()
}

fn program() -> PathBuf {
    PathBuf::from(std::env::var("MILLETLOCK_EARLIER_PROGRAM").expect("the program's path"))
}

fn job() -> Value {
    job_of(TASKS)
}

fn job_of(tasks: u32) -> Value {
    let mut job = json!(spec(1, tasks, "batch"));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    job
}

fn wait_until_done_on_both_sides(cells: &Cells) {
    until("some are done on both sides", || {
        let history = cells.history.lock().expect("the history");
        let tally = history.finished_per_cell(2);
        drop(history);
        tally[0] > 10 && tally[1] > 20 && tasks_in(cells, "done").len() > 20
    });
}

fn keys(cells: &Cells) -> Vec<String> {
    let all = ["job/", "final/", "done/", "marks/", "lent/"];
    all.iter()
        .flat_map(|prefix| cells.rows(0, prefix))
        .map(|row| format!("{} = {}", row.key, row.value))
        .collect()
}

/// How often each task of the job has finished.
fn finished(cells: &Cells, task: u32) -> usize {
    let history = cells.history.lock().expect("the history");
    history.finished.get(&format!("{JOB}/{task}")).map_or(0, Vec::len)
}

#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn finished_tasks_outlast_the_real_program_of_an_earlier_version() {
    let program = program();
    let mut cells = Cells::start(9, &plans());
    let job = job();
    cells.submit(0, &job);
    wait_until_done_on_both_sides(&cells);
    cells.kill_controller(0, 0);
    let recorded: BTreeSet<u32> =
        tasks_in(&cells, "done").union(&tasks_in(&cells, "lent/done")).copied().collect();
    println!("recorded before: {} tasks\n{}", recorded.len(), keys(&cells).join("\n"));
    for _ in 0..2 {
        // The second one within a second of the end of the first.
        cells.start_earlier_program(0, 0, &program);
        std::thread::sleep(EARLIER_LEADS);
        let ask = |method: &str, path: &str, body: Option<&Value>| cells.call(0, method, path, body);
        println!("status {:?}", ask("GET", &format!("/api/jobs/{JOB}"), None));
        println!("submitted again {:?}", ask("POST", "/api/jobs", Some(&job)));
        let cancelled = ask("POST", &format!("/api/jobs/{JOB}/withdraw"), None);
        println!("cancelled {cancelled:?}");
        assert_ne!(cancelled.0, 200, "no cancellation is confirmed while tasks are lent");
        println!("rows:\n{}", keys(&cells).join("\n"));
        let log = std::fs::read_to_string(cells.log_file(0, 0)).expect("its log");
        println!("log:\n{}", log.lines().take(12).collect::<Vec<_>>().join("\n"));
        cells.kill_controller(0, 0);
    }
    cells.start_controller(0, 0);
    until("the job is done", || cells.stage(0, JOB) == "done");
    let again: Vec<u32> = recorded.iter().filter(|task| finished(&cells, **task) > 1).copied().collect();
    let all_again: Vec<u32> = (0..TASKS).filter(|task| finished(&cells, *task) > 1).collect();
    println!("recorded tasks that ran again: {again:?}; of all: {all_again:?}");
    assert!(again.is_empty(), "recorded tasks ran again: {again:?}");
}

/// How a leader ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderEnd {
    Killed,
    /// Asked to end, with SIGTERM.
    Terminated,
    /// Cut off from the state store while the program of the earlier version runs beside it.
    CutFromStore,
}

/// A way in which the earlier version comes to lead.
#[derive(Clone, Copy, Debug)]
struct Case {
    end: LeaderEnd,
    /// How long after the end the earlier program starts.
    start_after: Duration,
    /// Whether another controller of this version is alive.
    has_follower: bool,
}

const AT_ONCE: Duration = Duration::ZERO;
/// Longer than the leader's lease in these settings.
const AFTER_LEASE: Duration = Duration::from_millis(1500);
/// How long the earlier program leads.
const EARLIER_TERM: Duration = Duration::from_secs(4);
/// Latest moment, after some results, at which the leader ends.
const MAX_DELAY_MS: u64 = 600;
/// The first group of addresses of these plays, apart from those of other tests.
const FIRST_GROUP: u8 = 20;
/// How long a write that is under way when a leader ends may take.
const WRITE_TIME: Duration = Duration::from_millis(20);

const fn case(end: LeaderEnd, start_after: Duration, has_follower: bool) -> Case {
    Case { end, start_after, has_follower }
}

const CASES: [Case; 6] = [
    case(LeaderEnd::Killed, AT_ONCE, false),
    case(LeaderEnd::Killed, AFTER_LEASE, false),
    case(LeaderEnd::Killed, AT_ONCE, true),
    case(LeaderEnd::Terminated, AT_ONCE, false),
    case(LeaderEnd::Terminated, AT_ONCE, true),
    case(LeaderEnd::CutFromStore, AT_ONCE, false),
];

/// Tasks that ran again, by how far their first result had come.
#[derive(Debug, Default)]
struct RanAgain {
    recorded: usize,
    /// A leader of this version had accepted the result and not written it.
    accepted: usize,
    /// The task had exited before the earlier version's first reply.
    unreported: usize,
    /// It exited after that.
    late: usize,
    /// Of all: the result was in a heartbeat that a follower redirected.
    redirected: usize,
}

impl fmt::Display for RanAgain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RanAgain { recorded, accepted, unreported, late, redirected } = self;
        write!(f, "recorded {recorded}, accepted {accepted}, unreported {unreported}, late {late}")?;
        write!(f, " (redirected {redirected})")
    }
}

/// Plays a case; `seed` decides when the leader ends, `group` tells the addresses of cells apart.
fn play(case: Case, seed: u64, group: u8, program: &Path) -> RanAgain {
    let controllers = if case.has_follower || case.end == LeaderEnd::CutFromStore { 2 } else { 1 };
    let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers, ..CellPlan::default() };
    let mut cells = Cells::start(group, &[plan(2, 0), plan(4, 60)]);
    cells.submit(0, &job());
    wait_until_done_on_both_sides(&cells);
    let leader = cells.leader(0).expect("a leader");
    let earlier = if case.end == LeaderEnd::CutFromStore { 1 - leader } else { leader };
    if case.end == LeaderEnd::CutFromStore {
        cells.kill_controller(0, earlier);
        cells.start_earlier_program(0, earlier, program);
    }
    let delay = StdRng::seed_from_u64(seed).random_range(0..MAX_DELAY_MS);
    std::thread::sleep(Duration::from_millis(delay));
    match case.end {
        LeaderEnd::Killed => cells.kill_controller(0, leader),
        LeaderEnd::Terminated => cells.terminate_controller(0, leader),
        LeaderEnd::CutFromStore => cells.set_cut_from_state_store(0, leader, true),
    }
    std::thread::sleep(WRITE_TIME);
    let last_token = cells.rows(0, "term")[0].value["n"].as_u64().expect("a number");
    let recorded: BTreeSet<u32> =
        tasks_in(&cells, "done").union(&tasks_in(&cells, "lent/done")).copied().collect();
    if case.end != LeaderEnd::CutFromStore {
        std::thread::sleep(case.start_after);
        cells.start_earlier_program(0, earlier, program);
    }
    std::thread::sleep(EARLIER_TERM);
    cells.set_cut_from_state_store(0, leader, false);
    std::thread::sleep(EARLIER_TERM / 2);
    cells.kill_controller(0, earlier);
    cells.start_controller(0, earlier);
    until("the job is done", || cells.stage(0, JOB) == "done");
    sort_by_evidence(&cells, &recorded, last_token)
}

/// Sorts the tasks that ran again by what their first exit and its reports show.
fn sort_by_evidence(cells: &Cells, recorded: &BTreeSet<u32>, last_token: u64) -> RanAgain {
    let history = cells.history.lock().expect("the history");
    println!(
        "  tokens that workers accepted: {:?}, the last before: {last_token}",
        history.first_accepted.keys()
    );
    let of_next_leaders =
        history.first_accepted.iter().filter(|((cell, token), _)| *cell == 0 && *token > last_token);
    let taken_over: Option<Instant> = of_next_leaders.map(|(_, at)| *at).min();
    let mut again = RanAgain::default();
    for (task, exits) in history.exits.iter().filter(|(_, exits)| exits.len() > 1) {
        let first = exits[0];
        let number = milletlock::jobs::split_task(task).expect("a task").1;
        let of_class = if recorded.contains(&number) {
            &mut again.recorded
        } else if first.accepted.is_some_and(|(_, token)| token <= last_token) {
            &mut again.accepted
        } else if taken_over.is_none_or(|at| first.at < at) {
            &mut again.unreported
        } else {
            &mut again.late
        };
        *of_class += 1;
        trace(task, exits, history.first_accepted.values().min().copied());
        again.redirected += usize::from(first.was_redirected);
    }
    again
}

/// Prints the exits of a task that ran again, in seconds since the cell's first heartbeat.
fn trace(task: &str, exits: &[Exit], since: Option<Instant>) {
    let Some(since) = since else { return };
    let seconds = |at: Instant| at.saturating_duration_since(since).as_secs_f64();
    for exit in exits {
        let accepted = exit.accepted.map(|(at, token)| (seconds(at), token));
        println!("  {task}: exit {:.3} in cell {}, accepted {accepted:?}", seconds(exit.at), exit.cell);
    }
}

/// The cases to play: all, or those of which the name contains `MILLETLOCK_CASE`.
fn cases() -> Vec<Case> {
    let part = std::env::var("MILLETLOCK_CASE").unwrap_or_default();
    CASES.into_iter().filter(|case| format!("{case:?}").contains(&part)).collect()
}

fn seeds() -> RangeInclusive<u64> {
    let text = std::env::var("MILLETLOCK_SEEDS").unwrap_or_else(|_| "1-2".into());
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a number")..=last.parse().expect("a number")
}

/// Guards against results that a leader of this version had accepted, and that ran again after the earlier
/// program had led.
#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn accepted_results_outlast_the_real_program_of_an_earlier_version() {
    let program = program();
    let mut failed = Vec::new();
    let plays = cases().into_iter().flat_map(|case| seeds().map(move |seed| (case, seed)));
    for (group, (case, seed)) in (FIRST_GROUP..).zip(plays) {
        let again = play(case, seed, group, &program);
        println!("{case:?} seed {seed}: ran again: {again}");
        if again.recorded + again.accepted > 0 {
            failed.push((case, seed));
        }
    }
    assert!(failed.is_empty(), "accepted results ran again: {failed:?}");
}

/// 0.3.0 leads with loans open, then the version in production, then this one. Returns how many tasks were recorded
/// when 0.3.0 ended, and how many of them ran again.
fn play_0_3_0(has_follower: bool, group: u8, program: &Path, program_0_3_0: &Path) -> (usize, usize) {
    let controllers = if has_follower { 2 } else { 1 };
    let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers, ..CellPlan::default() };
    let mut cells = Cells::start(group, &[plan(2, 0), plan(4, 60)]);
    (0..controllers).for_each(|controller| cells.kill_controller(0, controller));
    cells.start_program_with_cells(0, 0, program_0_3_0);
    until("0.3.0 leads", || cells.leader(0) == Some(0));
    if has_follower {
        cells.start_controller(0, 1);
    }
    cells.submit(0, &job());
    wait_until_done_on_both_sides(&cells);
    // Time for a round of the follower.
    std::thread::sleep(EARLIER_TERM / 2);
    cells.kill_controller(0, 0);
    let recorded = tasks_in(&cells, "done");
    let at_borrower: BTreeSet<u32> = cells
        .rows(1, &format!("borrowed/done/{JOB}/"))
        .iter()
        .flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text")))
        .collect();
    println!(
        "  recorded {}, of these copied {}; finished at the borrower {}, of these recorded at the lender {}",
        recorded.len(),
        recorded.intersection(&tasks_in(&cells, "lent/done")).count(),
        at_borrower.len(),
        at_borrower.intersection(&recorded).count(),
    );
    cells.start_earlier_program(0, 0, program);
    std::thread::sleep(EARLIER_TERM);
    cells.kill_controller(0, 0);
    cells.start_controller(0, 0);
    until("the job is done", || cells.stage(0, JOB) == "done");
    let again = recorded.iter().filter(|task| finished(&cells, **task) > 1).count();
    (recorded.len(), again)
}

/// Guards against rows that 0.3.0 wrote without copies while a controller of this version was beside it.
#[test]
#[ignore = "needs the programs of two earlier versions, see above"]
fn rows_of_0_3_0_outlast_the_real_programs_beside_a_controller_of_this_version() {
    let program = program();
    let program_0_3_0 = PathBuf::from(std::env::var("MILLETLOCK_0_3_0_PROGRAM").expect("the program's path"));
    let mut failed = 0;
    for (group, seed) in (FIRST_GROUP..).zip(seeds()) {
        let alone = play_0_3_0(false, group, &program, &program_0_3_0);
        println!("no follower, play {seed}: (recorded, ran again) {alone:?}");
        let beside = play_0_3_0(true, group + 50, &program, &program_0_3_0);
        println!("with a follower, play {seed}: (recorded, ran again) {beside:?}");
        failed += beside.1;
    }
    assert_eq!(failed, 0, "recorded tasks ran again");
}

/// Guards against a way back to an earlier version that operators cannot follow to its end.
#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn no_task_runs_again_after_the_way_back_that_operators_take() {
    let program = program();
    for (group, seed) in (FIRST_GROUP + 100..).zip(seeds()) {
        let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, ..CellPlan::default() };
        let mut cells = Cells::start(group, &[plan(2, 0), plan(4, 60)]);
        cells.submit(0, &job_of(MANY_TASKS));
        wait_until_done_on_both_sides(&cells);
        cells.disable_lending(0);
        for controller in 0..2 {
            cells.terminate_controller(0, controller);
            cells.start_controller(0, controller);
            until("it runs", || cells.status(0, controller).is_some());
        }
        let is_over = || {
            let status = cells.cells_status(0);
            status.is_some_and(|status| status.lent.is_empty() && status.unrecorded_results == 0)
        };
        until("all loans are closed", is_over);
        let done_before = tasks_in(&cells, "done").len();
        for controller in 0..2 {
            cells.terminate_controller(0, controller);
            cells.start_earlier_program(0, controller, &program);
        }
        std::thread::sleep(EARLIER_TERM);
        let done_under_earlier = tasks_in(&cells, "done").len();
        for controller in 0..2 {
            cells.kill_controller(0, controller);
            cells.start_controller(0, controller);
        }
        until("the job is done", || cells.stage(0, JOB) == "done");
        let again: Vec<u32> = (0..MANY_TASKS).filter(|task| finished(&cells, *task) > 1).collect();
        println!(
            "play {seed}: {done_before} done when the loans were closed, {done_under_earlier} rows under the \
             earlier version (none if it has ended the job); ran again: {again:?}"
        );
        assert!(again.is_empty(), "ran again: {again:?}");
    }
}
