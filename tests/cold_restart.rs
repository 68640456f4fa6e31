//! All controllers of a cell end and are started again while its workers continue to run. The tests count the
//! commands that the workers receive afterwards. The number of commands must be close to the number of
//! differences between the workers' tasks and the records in the state store, however many workers there are.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::cells::{until, CellPlan, Cells, LEASE_S};
use common::spec;
use milletlock::wire::WorkerCommand;
use serde_json::{json, Value};

/// Number of processors of a worker, and therefore of tasks that it runs at the same time.
const TASKS_PER_WORKER: usize = 4;
/// Run time of the tasks. It is longer than a test.
const LONG: Duration = Duration::from_secs(90);
/// Duration of an outage that is shorter than a lease.
const SHORT_OUTAGE: Duration = Duration::from_millis(1_500);
/// Duration of an outage that is longer than a lease and a heartbeat interval together.
const LONG_OUTAGE: Duration = Duration::from_millis(6_000);

/// Numbers of commands that workers received, by kind.
#[derive(Debug, Default, PartialEq, Eq)]
struct Commands {
    starts: usize,
    halts: usize,
    forgets: usize,
}

/// A cell whose machines are full, and whose controllers a test stops and starts again.
struct Cluster {
    cells: Cells,
    workers: usize,
    controllers: usize,
    /// When the controllers were last started again.
    restarted_at: Instant,
}

impl Cluster {
    /// Starts a cell with two controllers and fills its machines with one job array for each worker.
    fn prepare(group: u8, workers: usize) -> Cluster {
        Cluster::prepare_with(group, workers, 2)
    }

    /// Does the same as `prepare`, with this number of controllers.
    fn prepare_with(group: u8, workers: usize, controllers: usize) -> Cluster {
        let plan =
            CellPlan { workers, has_cells_block: false, task_time: LONG, controllers, ..CellPlan::default() };
        let cells = Cells::start(group, &[plan]);
        for number in 1..=workers as u32 {
            cells.submit(0, &job(number, TASKS_PER_WORKER as u32));
        }
        let cluster = Cluster { cells, workers, controllers, restarted_at: Instant::now() };
        cluster.wait_until_full();
        cluster
    }

    fn wait_until_full(&self) {
        until("all machines are full", || self.present_tasks() == self.workers * TASKS_PER_WORKER);
    }

    fn present_tasks(&self) -> usize {
        self.cells.history.lock().expect("the history").running.len()
    }

    /// Stops all controllers, runs `meanwhile`, and starts the controllers again `outage` after the stop. If
    /// the state store is unavailable, it becomes available one second later. Returns once there is a leader
    /// and no machine is unavailable.
    fn run(&mut self, outage: Duration, meanwhile: impl FnOnce(&Cells)) {
        self.kill_all();
        let stopped_at = Instant::now();
        meanwhile(&self.cells);
        std::thread::sleep(outage.saturating_sub(stopped_at.elapsed()));
        self.restarted_at = Instant::now();
        self.start_all();
        if self.cells.state_stores_unavailable.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1_000));
            self.cells.state_stores_unavailable.store(false, Ordering::Relaxed);
        }
        until("a leader is elected", || self.cells.leader(0).is_some());
        until("all machines have reported or are removed", || self.unavailable_machines() == 0);
    }

    fn kill_all(&mut self) {
        (0..self.controllers).for_each(|controller| self.cells.kill_controller(0, controller));
    }

    fn start_all(&mut self) {
        (0..self.controllers).for_each(|controller| self.cells.start_controller(0, controller));
    }

    /// Returns the number of machines that have not reported to the leader, are silent or are being returned.
    fn unavailable_machines(&self) -> usize {
        let status = self.cells.leader(0).and_then(|leader| self.cells.status(0, leader)).unwrap_or_default();
        let machines: Vec<Value> = status["owner"]["machines"].as_array().cloned().unwrap_or_default();
        machines.iter().filter(|m| ["unheard", "silent", "leaving"].iter().any(|s| m["state"] == *s)).count()
    }

    /// Asserts the recovery figures in the leader's status, and that `milletlock report` makes a page of the
    /// leader's log.
    fn assert_recovery_reported(&self, finished: usize, machines_lost: usize) {
        let leader = self.cells.leader(0).expect("a leader");
        let recovery = &self.cells.status(0, leader).expect("a status")["owner"]["recovery"];
        let (machines, tasks) = (self.workers, self.workers * TASKS_PER_WORKER);
        assert_eq!(recovery["machines"], machines, "{recovery}");
        assert_eq!(
            (&recovery["unheard"], &recovery["lost"]),
            (&json!(0), &json!(machines_lost)),
            "{recovery}"
        );
        assert_eq!(recovery["differences"]["finished"], finished, "{recovery}");
        // All tasks are adopted except those that ended, those that were lost with machines, and those of the
        // cancelled job, which may be halted by now.
        let adopted = tasks - finished - (machines_lost + 1) * TASKS_PER_WORKER;
        assert_eq!(recovery["adopted"], adopted, "{recovery}");
        let page = self.cells.log_file(0, leader).with_extension("html");
        let report = std::process::Command::new(env!("CARGO_BIN_EXE_milletlock"))
            .arg("report")
            .arg(self.cells.log_file(0, leader))
            .arg("--output")
            .arg(&page)
            .output()
            .expect("the program");
        assert!(report.status.success(), "{report:?}");
        let page = std::fs::read_to_string(page).expect("a page");
        assert!(
            page.contains(&format!("{machines} machines, all machines had reported or were lost")),
            "{page}"
        );
    }

    /// Waits until workers have received no command for two seconds. Returns the number of commands since the
    /// controllers were started again.
    fn commands(&self) -> Commands {
        let count = || self.cells.history.lock().expect("the history").commands.len();
        let (mut seen, mut quiet_since) = (count(), Instant::now());
        until("no more commands arrive", || {
            if count() > seen {
                (seen, quiet_since) = (count(), Instant::now());
            }
            quiet_since.elapsed() > Duration::from_secs(2)
        });
        let mut commands = Commands::default();
        let history = self.cells.history.lock().expect("the history");
        for (_, command) in history.commands.iter().filter(|(at, _)| *at > self.restarted_at) {
            match command {
                WorkerCommand::Start { .. } => commands.starts += 1,
                WorkerCommand::Halt { .. } => commands.halts += 1,
                WorkerCommand::Forget { .. } => commands.forgets += 1,
            }
        }
        commands
    }
}

fn job(number: u32, tasks: u32) -> Value {
    let mut job = json!(spec(number, tasks, "batch"));
    job["expectS"] = json!(LONG.as_secs_f64());
    job["gleanings"] = json!(false);
    job
}

/// Returns the tasks of each machine.
fn tasks_by_machine(cells: &Cells) -> BTreeMap<String, Vec<String>> {
    let mut by_machine: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for ((_, attempt), machine) in &cells.history.lock().expect("the history").running {
        by_machine.entry(machine.clone()).or_default().push(attempt.0.clone());
    }
    by_machine
}

#[test]
fn workers_get_no_commands_if_there_are_no_differences() {
    let mut cluster = Cluster::prepare(31, 40);
    cluster.run(SHORT_OUTAGE, |_| ());
    assert_eq!(cluster.commands(), Commands::default());
    assert_eq!(
        cluster.cells.history.lock().expect("the history").scale_out_requests,
        0,
        "no machine may be requested"
    );
}

#[test]
fn workers_get_no_commands_with_one_controller_or_with_five() {
    for (group, controllers) in [(36, 1), (37, 5)] {
        let mut cluster = Cluster::prepare_with(group, 10, controllers);
        cluster.run(SHORT_OUTAGE, |_| ());
        assert_eq!(cluster.commands(), Commands::default(), "{controllers} controllers");
    }
}

/// The state store is unavailable when the controllers are started again, and they are stopped once more.
#[test]
fn only_lost_tasks_start_again_after_a_second_crash_during_a_state_store_outage() {
    let mut cluster = Cluster::prepare(38, 20);
    cluster.kill_all();
    cluster.cells.state_stores_unavailable.store(true, Ordering::Relaxed);
    cluster.start_all();
    std::thread::sleep(Duration::from_millis(1_000));
    cluster.run(Duration::from_millis(500), |_| ());
    let lost = cluster.cells.history.lock().expect("the history").killed_by_lease;
    cluster.wait_until_full();
    assert_eq!(cluster.commands(), Commands { starts: lost, ..Commands::default() });
}

#[test]
fn each_lost_task_starts_once_after_an_outage_longer_than_the_lease() {
    let mut cluster = Cluster::prepare(32, 40);
    cluster.run(LONG_OUTAGE, |cells| {
        assert!(LONG_OUTAGE.as_secs_f64() > LEASE_S);
        until("all leases have run out", || cells.history.lock().expect("the history").running.is_empty());
    });
    cluster.wait_until_full();
    let lost = cluster.workers * TASKS_PER_WORKER;
    assert_eq!(cluster.commands(), Commands { starts: lost, ..Commands::default() });
}

/// During the outage tasks end and machines are removed. A cancellation was confirmed just before it.
#[test]
fn workers_get_about_as_many_commands_as_there_are_differences() {
    let mut cluster = Cluster::prepare(33, 40);
    let cancelled = spec(1, 1, "batch").id;
    let path = format!("/api/jobs/{cancelled}/withdraw");
    let response = cluster.cells.call(0, "POST", &path, Some(&json!({})));
    assert_eq!(response, (200, json!({ "nameId": cancelled, "stage": "cancelled" })));
    let (mut ended, mut lost) = (0, 0);
    cluster.run(SHORT_OUTAGE, |cells| {
        let mut machines = tasks_by_machine(cells);
        let is_cancelled = |task: &String| task.starts_with(&format!("{cancelled}/"));
        machines.retain(|_, tasks| !tasks.iter().any(is_cancelled));
        for (id, tasks) in machines.iter().take(2) {
            lost += tasks.len();
            cells.history.lock().expect("the history").remove_machine(id);
        }
        for tasks in machines.values().skip(2).take(5) {
            ended += tasks.len();
            cells.end_tasks(tasks);
        }
    });
    let left = (cluster.workers - 1) * TASKS_PER_WORKER - ended;
    until("the tasks of the removed machines run again", || cluster.present_tasks() == left);
    let commands = cluster.commands();
    let differences = ended + lost + TASKS_PER_WORKER;
    // A command is repeated until a heartbeat shows its effect. Here each is repeated at most once.
    assert_eq!(commands.starts, lost, "{commands:?}");
    assert!(commands.halts <= 2 * TASKS_PER_WORKER, "{commands:?}, one job was cancelled");
    assert!(commands.forgets <= 2 * (ended + TASKS_PER_WORKER), "{commands:?}, {ended} tasks ended");
    assert!(commands.starts + commands.halts + commands.forgets <= 2 * differences, "{commands:?}");
    cluster.assert_recovery_reported(ended, lost / TASKS_PER_WORKER);
    let history = cluster.cells.history.lock().expect("the history");
    assert!(history.running.keys().all(|(_, attempt)| !attempt.0.starts_with(&format!("{cancelled}/"))));
    assert!(history.finished.values().all(|cells| cells.len() == 1), "no task may finish twice");
}

#[test]
#[ignore = "a measurement, run by hand"]
fn measure_commands_with_many_workers() {
    for (group, workers) in [(34, 200), (35, 1000), (39, 2000)] {
        for outage in [SHORT_OUTAGE, LONG_OUTAGE] {
            let mut cluster = Cluster::prepare(group, workers);
            let changes = cluster.cells.state_store_load(0).1;
            cluster.run(outage, |_| ());
            let recovery = cluster.restarted_at.elapsed();
            let commands = cluster.commands();
            let changes = cluster.cells.state_store_load(0).1 - changes;
            println!(
                "{workers} workers, outage {outage:?}: recovery {recovery:?}, {commands:?}, {changes} changes"
            );
        }
    }
}
