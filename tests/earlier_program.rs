//! The real program of an earlier version leads a cell whose job has loans, after and before controllers of
//! this version. Results that were recorded or accepted must not be lost, so their tasks must not run again.
//!
//! These tests are run by hand. Build the commit that `deploy/service.toml` names in a separate worktree,
//! then run
//! `MILLETLOCK_EARLIER_PROGRAM=<its program> cargo test --test earlier_program -- --ignored --nocapture`.
//! `MILLETLOCK_0_3_0_PROGRAM` is the program of the last commit of 0.3.0.
//! `MILLETLOCK_SEEDS=1-5` selects the seeds, which decide when the leader ends (`1-2` by default).
//! `MILLETLOCK_CASE` selects the cases whose name contains its value.

mod common;

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use common::cells::history::Exit;
use common::cells::{until, CellPlan, Cells};
use common::{production, seeds, spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

const JOB: &str = "wk-000001";
/// Number of tasks of the job in most tests.
const TASKS: u32 = 240;
/// Number of tasks of a job that still has unfinished tasks once its loans are closed.
const MANY_TASKS: u32 = 1000;
/// How long each of two successive earlier leaders leads.
const SUCCESSIVE_TERM: Duration = Duration::from_secs(6);

/// A lender without spare capacity and a borrower with capacity, each with one controller.
fn plans() -> [CellPlan; 2] {
    let plan =
        |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers: 1, ..CellPlan::default() };
    [plan(2, 0), plan(4, 60)]
}

/// The tasks of the job in all done ranges under a prefix of the lender's state store.
fn tasks_in(cells: &Cells, prefix: &str) -> BTreeSet<u32> {
    let rows = cells.rows(0, &format!("{prefix}/{JOB}/"));
    rows.iter().flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text"))).collect()
}

fn program() -> PathBuf {
    PathBuf::from(std::env::var("MILLETLOCK_EARLIER_PROGRAM").expect("the program's path"))
}

/// The description of the job with `TASKS` tasks.
fn job() -> Value {
    job_of(TASKS)
}

/// The description of a job with short tasks that do not run on spot instances.
fn job_of(tasks: u32) -> Value {
    let mut job = json!(spec(1, tasks, "batch"));
    job["expectS"] = json!(2.0);
    job["gleanings"] = json!(false);
    job
}

/// Waits until tasks have finished in both cells and the lender has recorded results.
fn wait_for_results_of_both_cells(cells: &Cells) {
    until("some tasks are done in both cells", || {
        let history = cells.history.lock().expect("the history");
        let finished = history.finished_per_cell(2);
        drop(history);
        finished[0] > 10 && finished[1] > 20 && tasks_in(cells, "done").len() > 20
    });
}

/// The lender's stored records of jobs, as text.
fn job_rows(cells: &Cells) -> Vec<String> {
    let all = ["job/", "final/", "done/", "marks/", "lent/"];
    all.iter()
        .flat_map(|prefix| cells.rows(0, prefix))
        .map(|row| format!("{} = {}", row.key, row.value))
        .collect()
}

/// How often a task of the job has finished.
fn finish_count(cells: &Cells, task: u32) -> usize {
    let history = cells.history.lock().expect("the history");
    history.finished.get(&format!("{JOB}/{task}")).map_or(0, Vec::len)
}

/// Guards against recorded results that an earlier version removes, and against a cancellation that it
/// confirms while tasks are lent.
#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn recorded_tasks_do_not_run_again_after_the_real_program_of_an_earlier_version() {
    let program = program();
    let mut cells = Cells::start(9, &plans());
    let job = job();
    cells.submit(0, &job);
    wait_for_results_of_both_cells(&cells);
    cells.kill_controller(0, 0);
    let recorded: BTreeSet<u32> =
        tasks_in(&cells, "done").union(&tasks_in(&cells, "lent/done")).copied().collect();
    println!("recorded before: {} tasks\n{}", recorded.len(), job_rows(&cells).join("\n"));
    for _ in 0..2 {
        // The second program starts less than a second after the first one is killed.
        cells.start_earlier_program(0, 0, &program);
        std::thread::sleep(SUCCESSIVE_TERM);
        let request = |method: &str, path: &str, body: Option<&Value>| cells.call(0, method, path, body);
        println!("status {:?}", request("GET", &format!("/api/jobs/{JOB}"), None));
        println!("submitted again {:?}", request("POST", "/api/jobs", Some(&job)));
        let cancelled = request("POST", &format!("/api/jobs/{JOB}/withdraw"), None);
        println!("cancelled {cancelled:?}");
        assert_ne!(cancelled.0, 200, "a cancellation was confirmed while tasks are lent");
        println!("rows:\n{}", job_rows(&cells).join("\n"));
        let log = std::fs::read_to_string(cells.log_file(0, 0)).expect("its log");
        println!("log:\n{}", log.lines().take(12).collect::<Vec<_>>().join("\n"));
        cells.kill_controller(0, 0);
    }
    cells.start_controller(0, 0);
    until("the job is done", || cells.stage(0, JOB) == "done");
    let again: Vec<u32> = recorded.iter().filter(|task| finish_count(&cells, **task) > 1).copied().collect();
    let all_again: Vec<u32> = (0..TASKS).filter(|task| finish_count(&cells, *task) > 1).collect();
    println!("recorded tasks that ran again: {again:?}; of all: {all_again:?}");
    assert!(again.is_empty(), "recorded tasks ran again: {again:?}");
}

/// How the leader of this version loses its lead.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderEnd {
    Killed,
    /// Stopped with SIGTERM.
    Terminated,
    /// Cut off from the state store while the earlier program runs as a second controller.
    CutFromStore,
}

/// The circumstances in which the earlier version becomes the leader.
#[derive(Clone, Copy, Debug)]
struct Case {
    end: LeaderEnd,
    /// Time from the end of the leader to the start of the earlier program.
    start_after: Duration,
    /// Whether a second controller of this version runs.
    has_follower: bool,
}

const AT_ONCE: Duration = Duration::ZERO;
/// A delay longer than the leader's lease in the settings of these tests.
const AFTER_LEASE: Duration = Duration::from_millis(1500);
/// Time for which the earlier program leads.
const EARLIER_TERM: Duration = Duration::from_secs(4);
/// Longest time in milliseconds between the first results and the end of the leader.
const MAX_DELAY_MS: u64 = 600;
/// The first of the address groups that the cells of these tests use. Other tests use other groups.
const FIRST_GROUP: u8 = 20;
/// Longest time that a write in progress takes after its leader has ended.
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

/// Counts of the tasks that ran again, by how far their first result had come.
#[derive(Debug, Default)]
struct RanAgain {
    /// The result was recorded.
    recorded: usize,
    /// A leader of this version had accepted the result but not recorded it.
    accepted: usize,
    /// The task exited before the first heartbeat reply of a later leader; no leader accepted it before that.
    unreported: usize,
    /// The task exited after that reply.
    late: usize,
    /// Of all these: the result was in a heartbeat that a follower redirected.
    redirected: usize,
}

impl fmt::Display for RanAgain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RanAgain { recorded, accepted, unreported, late, redirected } = self;
        write!(f, "recorded {recorded}, accepted {accepted}, unreported {unreported}, late {late}")?;
        write!(f, " (redirected {redirected})")
    }
}

/// Runs a case. `seed` decides when the leader ends; `group` is the address group of the cells.
fn run_case(case: Case, seed: u64, group: u8, program: &Path) -> RanAgain {
    let controllers = if case.has_follower || case.end == LeaderEnd::CutFromStore { 2 } else { 1 };
    let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, controllers, ..CellPlan::default() };
    let mut cells = Cells::start(group, &[plan(2, 0), plan(4, 60)]);
    cells.submit(0, &job());
    wait_for_results_of_both_cells(&cells);
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
    count_ran_again(&cells, &recorded, last_token)
}

/// Counts the tasks that ran again, by what the history shows of the first exit and its reports.
fn count_ran_again(cells: &Cells, recorded: &BTreeSet<u32>, last_token: u64) -> RanAgain {
    let history = cells.history.lock().expect("the history");
    println!(
        "  tokens that workers accepted: {:?}, the last before: {last_token}",
        history.first_accepted.keys()
    );
    let by_next_leaders =
        history.first_accepted.iter().filter(|((cell, token), _)| *cell == 0 && *token > last_token);
    let taken_over: Option<Instant> = by_next_leaders.map(|(_, at)| *at).min();
    let mut again = RanAgain::default();
    for (task, exits) in history.exits.iter().filter(|(_, exits)| exits.len() > 1) {
        let first = exits[0];
        let number = milletlock::jobs::split_task(task).expect("a task").1;
        let count = if recorded.contains(&number) {
            &mut again.recorded
        } else if first.accepted.is_some_and(|(_, token)| token <= last_token) {
            &mut again.accepted
        } else if taken_over.is_none_or(|at| first.at < at) {
            &mut again.unreported
        } else {
            &mut again.late
        };
        *count += 1;
        print_exits(task, exits, history.first_accepted.values().min().copied());
        again.redirected += usize::from(first.was_redirected);
    }
    again
}

/// Prints the exits of a task that ran again, in seconds since the first accepted heartbeat.
fn print_exits(task: &str, exits: &[Exit], since: Option<Instant>) {
    let Some(since) = since else { return };
    let seconds = |at: Instant| at.saturating_duration_since(since).as_secs_f64();
    for exit in exits {
        let accepted = exit.accepted.map(|(at, token)| (seconds(at), token));
        println!("  {task}: exit {:.3} in cell {}, accepted {accepted:?}", seconds(exit.at), exit.cell);
    }
}

/// The selected cases: those whose name contains `MILLETLOCK_CASE`, all by default.
fn cases() -> Vec<Case> {
    let part = std::env::var("MILLETLOCK_CASE").unwrap_or_default();
    CASES.into_iter().filter(|case| format!("{case:?}").contains(&part)).collect()
}

/// Guards against the loss of results that a leader of this version had accepted: their tasks ran again after
/// the earlier program had led.
#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn accepted_results_are_not_lost_under_the_real_program_of_an_earlier_version() {
    let program = program();
    let mut failed = Vec::new();
    let runs = cases().into_iter().flat_map(|case| seeds("1-2").map(move |seed| (case, seed)));
    for (group, (case, seed)) in (FIRST_GROUP..).zip(runs) {
        let again = run_case(case, seed, group, &program);
        println!("{case:?} seed {seed}: ran again: {again}");
        if again.recorded + again.accepted > 0 {
            failed.push((case, seed));
        }
    }
    assert!(failed.is_empty(), "accepted results ran again: {failed:?}");
}

/// Lets 0.3.0 lead while loans are open, then the version in production, then this version. Returns the
/// number of tasks that were recorded when 0.3.0 ended, and the number of those that ran again.
fn run_0_3_0_case(has_follower: bool, group: u8, program: &Path, program_0_3_0: &Path) -> (usize, usize) {
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
    wait_for_results_of_both_cells(&cells);
    // Leaves the follower time for a round of copying.
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
    let again = recorded.iter().filter(|task| finish_count(&cells, **task) > 1).count();
    (recorded.len(), again)
}

/// Guards against the loss of progress that 0.3.0 wrote without copies, when a follower of this version ran
/// beside it.
#[test]
#[ignore = "needs the programs of two earlier versions, see above"]
fn tasks_recorded_by_0_3_0_do_not_run_again_if_a_follower_of_this_version_ran_beside_it() {
    let program = program();
    let program_0_3_0 = PathBuf::from(std::env::var("MILLETLOCK_0_3_0_PROGRAM").expect("the program's path"));
    let mut failed = 0;
    for (group, seed) in (FIRST_GROUP..).zip(seeds("1-2")) {
        let alone = run_0_3_0_case(false, group, &program, &program_0_3_0);
        println!("no follower, run {seed}: (recorded, ran again) {alone:?}");
        let beside = run_0_3_0_case(true, group + 50, &program, &program_0_3_0);
        println!("with a follower, run {seed}: (recorded, ran again) {beside:?}");
        failed += beside.1;
    }
    assert_eq!(failed, 0, "recorded tasks ran again");
}

/// Guards against a procedure for operators' return to an earlier version that loses results: disable
/// lending, restart the controllers, wait until all loans are closed, then start the earlier version.
#[test]
#[ignore = "needs the program of an earlier version, see above"]
fn no_task_runs_again_when_operators_return_to_an_earlier_version_after_all_loans_are_closed() {
    let program = program();
    for (group, seed) in (FIRST_GROUP + 100..).zip(seeds("1-2")) {
        let plan = |workers, borrow_cpus| CellPlan { workers, borrow_cpus, ..CellPlan::default() };
        let mut cells = Cells::start(group, &[plan(2, 0), plan(4, 60)]);
        cells.submit(0, &job_of(MANY_TASKS));
        wait_for_results_of_both_cells(&cells);
        cells.disable_lending(0);
        for controller in 0..2 {
            cells.terminate_controller(0, controller);
            cells.start_controller(0, controller);
            until("the controller runs", || cells.status(0, controller).is_some());
        }
        let has_no_loans = || {
            let status = cells.cells_status(0);
            status.is_some_and(|status| status.lent.is_empty() && status.unrecorded_results == 0)
        };
        until("all loans are closed", has_no_loans);
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
        let again: Vec<u32> = (0..MANY_TASKS).filter(|task| finish_count(&cells, *task) > 1).collect();
        println!(
            "run {seed}: {done_before} done when the loans were closed, {done_under_earlier} in rows under \
             the earlier version (none if it has ended the job); ran again: {again:?}"
        );
        assert!(again.is_empty(), "ran again: {again:?}");
    }
}
