//! Tests of the recovery tracker: each kind of discrepancy alone, and random reports compared with a simple
//! model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use milletlock_recovery::{
    CommandKind, Discrepancy, JobRecordState, MachineStatus, RecordedJobs, RecoveryTracker, ReportedTask,
    ReportedTaskState, TaskDiscrepancy,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);

/// Records of live jobs: the done tasks by job id. A job whose id begins with `gang` is a gang of three
/// tasks.
#[derive(Default)]
struct Records(BTreeMap<String, BTreeSet<u32>>);

impl RecordedJobs for Records {
    fn job(&self, job: &str) -> JobRecordState {
        match self.0.contains_key(job) {
            false => JobRecordState::Ended,
            true if job.starts_with("gang") => JobRecordState::LiveGang { tasks: 3 },
            true => JobRecordState::Live,
        }
    }

    fn is_done(&self, job: &str, task: u32) -> bool {
        self.0.get(job).is_some_and(|done| done.contains(&task))
    }
}

fn records() -> Records {
    let job = |name: &str, done: &[u32]| (name.to_string(), done.iter().copied().collect());
    Records(BTreeMap::from([job("array", &[7]), job("gang", &[])]))
}

fn recovery(machines: &[&str]) -> RecoveryTracker {
    let mut recovery = RecoveryTracker::default();
    machines.iter().for_each(|machine| recovery.expect_machine(machine));
    recovery
}

fn task(job: &str, task: u32, state: ReportedTaskState) -> ReportedTask<'_> {
    ReportedTask { job, task, attempt: 1, state }
}

/// Applies a machine's first report, which also acknowledges the leader's fencing token.
fn report(recovery: &mut RecoveryTracker, machine: &str, tasks: &[ReportedTask<'_>]) -> Vec<TaskDiscrepancy> {
    let found = recovery.compare_first_report(machine, tasks, &records());
    recovery.mark_reported(machine, SECOND);
    found
}

/// The discrepancies that are found if the only machine reports these tasks.
fn found(tasks: &[ReportedTask<'_>]) -> Vec<Discrepancy> {
    let mut recovery = recovery(&["m"]);
    report(&mut recovery, "m", tasks).into_iter().map(|found| found.discrepancy).collect()
}

#[test]
fn each_kind_of_discrepancy_is_found_in_a_report() {
    use Discrepancy::{DoneBefore, Failed, Finished, JobOver};
    assert_eq!(found(&[]), []);
    assert_eq!(found(&[task("array", 1, ReportedTaskState::Present)]), [], "the task is adopted");
    assert_eq!(found(&[task("array", 1, ReportedTaskState::Done)]), [Finished]);
    assert_eq!(found(&[task("array", 1, ReportedTaskState::Failed)]), [Failed]);
    assert_eq!(found(&[task("array", 7, ReportedTaskState::Present)]), [DoneBefore]);
    assert_eq!(found(&[task("array", 7, ReportedTaskState::Done)]), [], "the result is recorded already");
    assert_eq!(found(&[task("unknown", 1, ReportedTaskState::Present)]), [JobOver]);
    assert_eq!(found(&[task("unknown", 1, ReportedTaskState::Done)]), [], "the job has ended");
}

#[test]
fn a_task_on_two_machines_is_found_with_the_second_report() {
    let mut recovery = recovery(&["a", "b"]);
    let tasks = [task("array", 1, ReportedTaskState::Present)];
    assert!(report(&mut recovery, "a", &tasks).is_empty());
    let found = report(&mut recovery, "b", &tasks);
    let twice = TaskDiscrepancy { job: "array".into(), task: 1, discrepancy: Discrepancy::PlacedTwice };
    assert_eq!(found, [twice]);
    assert_eq!(recovery.progress(SECOND).adopted, 1);
}

#[test]
fn a_gang_is_partial_only_once_every_machine_has_reported_or_is_lost() {
    let mut recovery = recovery(&["a", "b"]);
    report(
        &mut recovery,
        "a",
        &[task("gang", 0, ReportedTaskState::Present), task("gang", 1, ReportedTaskState::Present)],
    );
    assert_eq!(
        recovery.progress(SECOND).discrepancies.total(),
        0,
        "the third task may be on the other machine"
    );
    recovery.mark_lost("b", 2 * SECOND);
    let discrepancies = recovery.progress(2 * SECOND).discrepancies;
    assert_eq!(discrepancies.count(Discrepancy::PartialGang), 1);
    assert_eq!(discrepancies.count(Discrepancy::MachineLost), 1);
}

#[test]
fn decisions_wait_for_reports_only_within_the_window() {
    let window = 4 * SECOND;
    let mut recovery = recovery(&["a", "b"]);
    assert!(recovery.is_awaiting_reports(SECOND, window));
    report(&mut recovery, "a", &[]);
    assert!(recovery.is_awaiting_reports(SECOND, window));
    assert!(
        !recovery.is_awaiting_reports(window, window),
        "a machine that does not report delays decisions only within the window"
    );
    report(&mut recovery, "b", &[]);
    assert!(!recovery.is_awaiting_reports(SECOND, window));
    assert_eq!(recovery.progress(9 * SECOND).completed_after_s, Some(1.0));
    assert!(!RecoveryTracker::default().is_awaiting_reports(SECOND, window), "no machine to wait for");
}

#[test]
fn only_the_first_report_of_a_machine_is_compared() {
    let mut recovery = recovery(&["a"]);
    report(&mut recovery, "a", &[]);
    assert!(report(&mut recovery, "a", &[task("array", 1, ReportedTaskState::Done)]).is_empty());
    recovery.mark_lost("a", SECOND);
    assert_eq!(recovery.machine_status("a"), Some(MachineStatus::Reported));
    assert!(report(&mut recovery, "new", &[task("array", 1, ReportedTaskState::Done)]).is_empty());
    assert_eq!(recovery.machine_status("new"), None, "a machine that the records do not name is not tracked");
}

#[test]
fn commands_are_counted_by_kind() {
    let mut recovery = RecoveryTracker::default();
    [CommandKind::Start, CommandKind::Halt, CommandKind::Start, CommandKind::Forget]
        .into_iter()
        .for_each(|kind| recovery.count_command(kind));
    let commands = recovery.progress(SECOND).commands;
    assert_eq!((commands.starts, commands.halts, commands.forgets, commands.total()), (2, 1, 1, 4));
}

/// Random reports of up to eleven machines, some of which are lost before they report.
#[test]
fn random_reports_are_counted_as_by_a_simple_model() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (records, names) = (records(), ["array", "over"]);
        let machines: Vec<String> = (0..rng.random_range(1..12)).map(|n| format!("m{n}")).collect();
        let mut recovery = recovery(&machines.iter().map(String::as_str).collect::<Vec<_>>());
        let (mut expected, mut present, mut lost) = (0, BTreeSet::new(), 0);
        for machine in &machines {
            if rng.random_range(0..5) == 0 {
                recovery.mark_lost(machine, SECOND);
                lost += 1;
                continue;
            }
            let mut tasks = Vec::new();
            for number in 0..rng.random_range(0..6) {
                let state = [ReportedTaskState::Present, ReportedTaskState::Done, ReportedTaskState::Failed]
                    [rng.random_range(0..3)];
                let job = names[rng.random_range(0..2)];
                let done = job == "array" && number == 7;
                expected += match (job, state) {
                    ("over", ReportedTaskState::Present) => 1,
                    ("over", _) => 0,
                    (_, ReportedTaskState::Present) => u64::from(done || !present.insert(number)),
                    (_, _) => u64::from(!done),
                };
                tasks.push(task(job, number, state));
            }
            let count = recovery.progress(SECOND).discrepancies.total();
            let found = recovery.compare_first_report(machine, &tasks, &records).len() as u64;
            assert_eq!(recovery.progress(SECOND).discrepancies.total(), count + found, "seed {seed}");
            assert!(
                recovery.compare_first_report(machine, &tasks, &records).is_empty(),
                "a second report was compared, seed {seed}"
            );
            recovery.mark_reported(machine, SECOND);
        }
        let progress = recovery.progress(SECOND);
        assert_eq!(progress.discrepancies.total(), expected + lost, "seed {seed}");
        assert_eq!((progress.lost, progress.not_reported), (lost, 0));
        assert_eq!(progress.adopted, present.len() as u64);
        assert!(recovery.is_complete());
    }
}

/// Operators' scripts and status pages read these names.
#[test]
fn progress_keeps_its_serialized_names() {
    let mut recovery = recovery(&["a", "b"]);
    report(&mut recovery, "a", &[task("array", 1, ReportedTaskState::Done)]);
    recovery.count_command(CommandKind::Forget);
    let progress = serde_json::to_value(recovery.progress(SECOND)).expect("a value");
    let expected = serde_json::json!({
        "after_s": 1.0, "machines": 2, "unheard": 1, "lost": 0, "adopted": 0,
        "differences": { "finished": 1 },
        "orders": { "starts": 0, "halts": 0, "forgets": 1 },
        "settled_s": null,
    });
    assert_eq!(progress, expected);
}
