//! Each difference alone, and random mixtures of them against a plain model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use milletlock_recovery::{
    Difference, Evidence, JobRecordState, OrderKind, RecordedJobs, Recovery, ReportedTask, TaskState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);

/// Records of jobs by their tasks that are done; a name that begins with `gang` is one of three tasks.
#[derive(Default)]
struct Records(BTreeMap<String, BTreeSet<u32>>);

impl RecordedJobs for Records {
    fn job(&self, job: &str) -> JobRecordState {
        match self.0.contains_key(job) {
            false => JobRecordState::Over,
            true if job.starts_with("gang") => JobRecordState::LiveGang(3),
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

fn recovery(machines: &[&str]) -> Recovery {
    let mut recovery = Recovery::default();
    machines.iter().for_each(|machine| recovery.expect(machine));
    recovery
}

fn task(job: &str, task: u32, state: TaskState) -> ReportedTask<'_> {
    ReportedTask { job, task, attempt: 1, state }
}

/// A machine's first report, which shows the owner's token as well.
fn hear(
    recovery: &mut Recovery,
    machine: &str,
    tasks: &[ReportedTask<'_>],
) -> Vec<(String, u32, Difference)> {
    let found = recovery.compare(machine, tasks, &records());
    recovery.hear(machine, SECOND);
    found
}

/// The differences of one machine that reports these tasks.
fn found(tasks: &[ReportedTask<'_>]) -> Vec<Difference> {
    let mut recovery = recovery(&["m"]);
    hear(&mut recovery, "m", tasks).into_iter().map(|found| found.2).collect()
}

#[test]
fn each_difference_alone() {
    use Difference::{DoneBefore, Failed, Finished, JobOver};
    assert_eq!(found(&[]), []);
    assert_eq!(found(&[task("array", 1, TaskState::Present)]), [], "adopted where it is");
    assert_eq!(found(&[task("array", 1, TaskState::Done)]), [Finished]);
    assert_eq!(found(&[task("array", 1, TaskState::Failed)]), [Failed]);
    assert_eq!(found(&[task("array", 7, TaskState::Present)]), [DoneBefore]);
    assert_eq!(found(&[task("array", 7, TaskState::Done)]), [], "recorded, it only remains to be forgotten");
    assert_eq!(found(&[task("unknown", 1, TaskState::Present)]), [JobOver]);
    assert_eq!(found(&[task("unknown", 1, TaskState::Done)]), [], "nobody waits for it");
}

#[test]
fn a_task_on_two_machines_is_seen_by_the_second_report() {
    let mut recovery = recovery(&["a", "b"]);
    let tasks = [task("array", 1, TaskState::Present)];
    assert!(hear(&mut recovery, "a", &tasks).is_empty());
    let found = hear(&mut recovery, "b", &tasks);
    assert_eq!(found, [("array".to_string(), 1, Difference::PlacedTwice)]);
    assert_eq!(recovery.progress(SECOND).adopted, 1);
}

#[test]
fn a_gang_is_in_part_only_once_all_machines_are_heard_or_lost() {
    let mut recovery = recovery(&["a", "b"]);
    hear(&mut recovery, "a", &[task("gang", 0, TaskState::Present), task("gang", 1, TaskState::Present)]);
    assert_eq!(recovery.progress(SECOND).differences.total(), 0, "the third may be on the other machine");
    recovery.lose("b", 2 * SECOND);
    let differences = recovery.progress(2 * SECOND).differences;
    assert_eq!(differences.of(Difference::PartialGang), 1);
    assert_eq!(differences.of(Difference::MachineLost), 1);
}

#[test]
fn what_depends_on_unheard_machines_waits_for_a_while_only() {
    let window = 4 * SECOND;
    let mut recovery = recovery(&["a", "b"]);
    assert!(recovery.is_gathering(SECOND, window));
    hear(&mut recovery, "a", &[]);
    assert!(recovery.is_gathering(SECOND, window));
    assert!(!recovery.is_gathering(window, window), "one that stays away does not hold up the others");
    hear(&mut recovery, "b", &[]);
    assert!(!recovery.is_gathering(SECOND, window));
    assert_eq!(recovery.progress(9 * SECOND).settled_s, Some(1.0));
    assert!(!Recovery::default().is_gathering(SECOND, window), "nothing to recover");
}

#[test]
fn only_a_machines_first_report_counts() {
    let mut recovery = recovery(&["a"]);
    hear(&mut recovery, "a", &[]);
    assert!(hear(&mut recovery, "a", &[task("array", 1, TaskState::Done)]).is_empty());
    recovery.lose("a", SECOND);
    assert_eq!(recovery.evidence("a"), Some(Evidence::Reported));
    assert!(hear(&mut recovery, "new", &[task("array", 1, TaskState::Done)]).is_empty());
    assert_eq!(recovery.evidence("new"), None, "rented since, it has nothing from before");
}

#[test]
fn orders_are_counted_by_kind() {
    let mut recovery = Recovery::default();
    [OrderKind::Start, OrderKind::Halt, OrderKind::Start, OrderKind::Forget]
        .into_iter()
        .for_each(|kind| recovery.note_order(kind));
    let orders = recovery.progress(SECOND).orders;
    assert_eq!((orders.starts, orders.halts, orders.forgets, orders.total()), (2, 1, 1, 4));
}

/// Random machines that report in random order, some twice, some never.
#[test]
fn random_mixtures_count_as_a_plain_model_does() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (records, names) = (records(), ["array", "over"]);
        let machines: Vec<String> = (0..rng.random_range(1..12)).map(|n| format!("m{n}")).collect();
        let mut recovery = recovery(&machines.iter().map(String::as_str).collect::<Vec<_>>());
        let (mut expected, mut present, mut lost) = (0, BTreeSet::new(), 0);
        for machine in &machines {
            if rng.random_range(0..5) == 0 {
                recovery.lose(machine, SECOND);
                lost += 1;
                continue;
            }
            let mut tasks = Vec::new();
            for number in 0..rng.random_range(0..6) {
                let state = [TaskState::Present, TaskState::Done, TaskState::Failed][rng.random_range(0..3)];
                let job = names[rng.random_range(0..2)];
                let done = job == "array" && number == 7;
                expected += match (job, state) {
                    ("over", TaskState::Present) => 1,
                    ("over", _) => 0,
                    (_, TaskState::Present) => u64::from(done || !present.insert(number)),
                    (_, _) => u64::from(!done),
                };
                tasks.push(task(job, number, state));
            }
            let count = recovery.progress(SECOND).differences.total();
            let found = recovery.compare(machine, &tasks, &records).len() as u64;
            assert_eq!(recovery.progress(SECOND).differences.total(), count + found, "seed {seed}");
            assert!(recovery.compare(machine, &tasks, &records).is_empty(), "the first report only");
            recovery.hear(machine, SECOND);
        }
        let progress = recovery.progress(SECOND);
        assert_eq!(progress.differences.total(), expected + lost, "seed {seed}");
        assert_eq!((progress.lost, progress.unheard), (lost, 0));
        assert_eq!(progress.adopted, present.len() as u64);
        assert!(recovery.is_settled());
    }
}
