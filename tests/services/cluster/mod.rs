//! A simulation of a leader and its workers, in steps of simulated time.

mod simulated_worker;

use std::collections::{BTreeMap, BTreeSet};

use milletlock::fleet::{Fleet, HeartbeatOutcome, PendingWrite};
use milletlock::leadership;
use milletlock::records::JobRecord;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{ExitReason, JobSpec, Priority, Shape, TaskStage, WorkerCommand};

use crate::common::worker::job_of;
pub use simulated_worker::{InjectedFailure, Started, Task, Worker, LEASE};

use crate::common::{config, heartbeat, record, spec, types};

/// Time at which each simulation begins.
pub const START: Steady = Steady(1_000_000_000);

/// The fencing token of the only leader.
pub const FENCING_TOKEN: u64 = 7;

/// Length of one step of simulated time.
pub const STEP: Micros = Micros::from_millis(500);

/// Time between two heartbeats of a worker.
pub const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(3_000);

/// The service's id in most tests.
pub const SERVICE: &str = "wk-000001";

/// The id of the array in most tests.
pub const ARRAY: &str = "wk-000002";

/// A duration in seconds.
pub fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// A service of one-processor replicas, with a higher priority than the arrays.
pub fn service(number: u32, replicas: u32) -> JobSpec {
    JobSpec { priority: Priority::Critical, ..spec(number, replicas, "daemon") }
}

/// An array of one-processor tasks.
pub fn array(number: u32, tasks: u32) -> JobSpec {
    spec(number, tasks, "batch")
}

/// The names of the tasks that the commands start.
pub fn starts(commands: &[WorkerCommand]) -> Vec<&str> {
    commands
        .iter()
        .filter_map(|command| match command {
            WorkerCommand::Start { task, .. } => Some(task.as_str()),
            _ => None,
        })
        .collect()
}

/// The names of the tasks that the commands halt.
pub fn halts(commands: &[WorkerCommand]) -> Vec<&str> {
    commands
        .iter()
        .filter_map(|command| match command {
            WorkerCommand::Halt { task, .. } => Some(task.as_str()),
            _ => None,
        })
        .collect()
}

/// A leader and its workers. All writes of the leader succeed.
pub struct SimulatedCluster {
    pub fleet: Fleet,
    pub now: Steady,
    pub revision: u64,
    pub workers: BTreeMap<String, Worker>,
    pub services: BTreeSet<String>,
    pub failures: Vec<InjectedFailure>,
    /// By id of an array: the run time after which its tasks are done. Tasks of other arrays run without end.
    pub runs_for: BTreeMap<String, Micros>,
    pub started: Vec<Started>,
}

impl SimulatedCluster {
    /// A cluster with registered machines of four processors in the zone `north`.
    pub fn new(machines: &[&str]) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            fleet: Fleet::new(config(), types(), FENCING_TOKEN, START),
            now: START,
            revision: 1000,
            workers: BTreeMap::new(),
            services: BTreeSet::new(),
            failures: Vec::new(),
            runs_for: BTreeMap::new(),
            started: Vec::new(),
        };
        for machine in machines {
            cluster.add_machine(machine, "north");
        }
        cluster
    }

    /// The current wall-clock time.
    pub fn wall(&self) -> Wall {
        Wall(self.now.0)
    }

    /// Adds a machine: it sends its first heartbeat, and its record is written.
    pub fn add_machine(&mut self, machine: &str, zone: &'static str) {
        self.workers.insert(machine.into(), Worker::new(zone, self.now));
        self.exchange_heartbeat(machine);
        self.write_records();
    }

    /// Submits a job.
    pub fn submit(&mut self, spec: JobSpec) {
        if spec.shape == Shape::Service {
            self.services.insert(spec.id.clone());
        }
        self.revision += 1;
        let submitted_us = self.now.0;
        self.fleet.apply_job_record(JobRecord { submitted_us, ..record(spec) }, self.revision, self.now);
        self.write_records();
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: &str) {
        self.revision += 1;
        self.fleet.apply_job_removal(job, self.revision);
    }

    /// Acknowledges all pending writes of the leader. Asserts that none of them records tasks of a service
    /// as done.
    pub fn write_records(&mut self) {
        let pending = self.fleet.pending_writes(self.now, Micros::ZERO, 1000);
        for write in &pending {
            if let PendingWrite::Final(job) | PendingWrite::Done(job, _) = write {
                assert!(!self.services.contains(&**job), "a service is recorded as done: {write:?}");
            }
        }
        let (now, wall) = (self.now, self.wall());
        for batch in leadership::compose_batches(&mut self.fleet, 1, pending, 1000, now, wall) {
            self.revision += 1;
            for composed in &batch.writes {
                self.fleet.write_applied(&composed.write, self.revision, &composed.contents, now);
            }
        }
    }

    /// Advances the time for the leader, whose lease is confirmed. No worker sends a heartbeat.
    pub fn advance(&mut self, time: Micros) {
        self.now = self.now + time;
        self.fleet.confirm_lease(self.now);
        self.fleet.tick(self.now, self.wall());
        self.write_records();
    }

    /// Updates the workers' tasks: expires leases and ends tasks whose run time is over.
    pub fn run_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.expire_lease(self.now);
            for ((name, _), task) in worker.tasks.iter_mut().filter(|(_, task)| task.ended.is_none()) {
                let time = self.runs_for.get(job_of(name));
                if time.is_some_and(|time| self.now - task.since >= *time) {
                    task.ended = Some(ExitReason::Done);
                    worker.next_heartbeat = self.now;
                }
            }
        }
    }

    /// Delivers the leader's direct commands to all workers that are not partitioned; returns the commands
    /// delivered.
    pub fn deliver_commands(&mut self) -> Vec<WorkerCommand> {
        let mut delivered = Vec::new();
        for message in self.fleet.halt_commands(self.now) {
            let worker = self.workers.get(&*message.machine);
            if worker.is_some_and(|worker| worker.is_reachable(self.now)) {
                self.execute_commands(&message.machine, &message.commands);
                delivered.extend(message.commands);
            }
        }
        delivered
    }

    /// Executes commands on a worker.
    pub fn execute_commands(&mut self, machine: &str, commands: &[WorkerCommand]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else { return };
        for command in commands {
            worker.next_heartbeat = now;
            match command {
                WorkerCommand::Start { task, attempt } => {
                    let is_hit = |failure: &&InjectedFailure| {
                        failure.job == job_of(task) && failure.machine.is_none_or(|hit| hit == machine)
                    };
                    let failure = self.failures.iter().find(is_hit);
                    let started = Task { since: now, ended: failure.map(|failure| failure.reason) };
                    worker.tasks.insert((task.clone(), *attempt), started);
                    self.started.push(Started { at: now, machine: machine.into(), task: task.clone() });
                }
                WorkerCommand::Halt { task, attempt, .. } => {
                    let task = worker.tasks.get_mut(&(task.clone(), *attempt));
                    if let Some(task) = task.filter(|task| task.ended.is_none()) {
                        task.ended = Some(ExitReason::Stopped);
                    }
                }
                WorkerCommand::Forget { task, attempt } => {
                    worker.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    /// Sends a heartbeat with the machine's current tasks and returns the commands in the leader's reply,
    /// which are not executed; `None` if the heartbeat is refused.
    pub fn send_heartbeat(&mut self, machine: &str) -> Option<Vec<WorkerCommand>> {
        let now = self.now;
        let worker = self.workers.get_mut(machine).expect("a machine");
        worker.sequence += 1;
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let stage =
            |ended: Option<ExitReason>| if ended.is_some() { TaskStage::Exited } else { TaskStage::Running };
        let tasks: Vec<_> = worker
            .tasks
            .iter()
            .map(|((name, attempt), task)| (name.as_str(), *attempt, stage(task.ended), task.ended))
            .collect();
        let mut message = heartbeat(machine, worker.sequence, worker.fencing_token, &tasks);
        message.agent_epoch = worker.agent_epoch;
        message.zone = worker.zone.into();
        message.interruption_notice_s = worker.reclaimed_at.map(|at| (at - now).secs());
        match self.fleet.apply_heartbeat(&message, now, Wall(now.0)) {
            HeartbeatOutcome::Reply(reply) => Some(reply.commands),
            HeartbeatOutcome::Refuse => None,
            HeartbeatOutcome::Superseded(fencing_token) => panic!("superseded by {fencing_token}"),
        }
    }

    /// Sends a heartbeat of a machine and executes the commands in the reply, which are returned.
    pub fn exchange_heartbeat(&mut self, machine: &str) -> Vec<WorkerCommand> {
        let Some(commands) = self.send_heartbeat(machine) else { return Vec::new() };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.fencing_token = FENCING_TOKEN;
            worker.last_reply = now;
        }
        self.execute_commands(machine, &commands);
        commands
    }

    /// Advances the time by one step for the leader and all workers.
    pub fn step(&mut self) {
        self.advance(STEP);
        self.run_workers();
        self.deliver_commands();
        let is_due = |worker: &Worker| worker.next_heartbeat <= self.now && worker.is_reachable(self.now);
        let due = self.workers.iter().filter(|(_, worker)| is_due(worker));
        let senders: Vec<String> = due.map(|(machine, _)| machine.clone()).collect();
        for machine in senders {
            self.exchange_heartbeat(&machine);
        }
        self.assert_nothing_runs_twice();
    }

    /// Advances the time by `time`, step by step.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the time until exactly `count` tasks of a job are running, for less than `max`; returns how
    /// long that took.
    pub fn run_until(&mut self, job: &str, count: usize, max: Micros) -> Micros {
        let from = self.now;
        while self.running_tasks(job).len() != count {
            assert!(self.now - from < max, "{job} runs on {:?} after {max:?}", self.running_tasks(job));
            self.step();
        }
        self.now - from
    }

    /// Names and machines of a job's tasks that are running on the workers, whatever the leader knows of
    /// them.
    pub fn running_tasks(&self, job: &str) -> Vec<(String, String)> {
        let all = self
            .workers
            .iter()
            .flat_map(|(machine, worker)| worker.tasks.iter().map(move |task| (machine, task)));
        let running = all.filter(|(_, (key, task))| task.ended.is_none() && job_of(&key.0) == job);
        running.map(|(machine, (key, _))| (key.0.clone(), machine.clone())).collect()
    }

    /// The machines on which tasks of a job are running, one entry for each task.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let mut machines: Vec<String> =
            self.running_tasks(job).into_iter().map(|(_, machine)| machine).collect();
        machines.sort();
        machines
    }

    /// Asserts that no task is running on two machines.
    pub fn assert_nothing_runs_twice(&self) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        for (machine, worker) in &self.workers {
            for ((name, _), _) in worker.tasks.iter().filter(|(_, task)| task.ended.is_none()) {
                let other = seen.insert(name, machine);
                assert_eq!(other, None, "{name} runs on {machine} as well");
            }
        }
    }

    /// Ends a running task of a job on a machine.
    pub fn end_task(&mut self, machine: &str, job: &str, reason: ExitReason) {
        let worker = self.workers.get_mut(machine).expect("a machine");
        let mut running =
            worker.tasks.iter_mut().filter(|((name, _), task)| task.ended.is_none() && job_of(name) == job);
        let (_, task) = running.next().expect("a running task");
        task.ended = Some(reason);
        worker.next_heartbeat = self.now;
    }

    /// Removes a machine, which the cloud confirms to the leader.
    pub fn remove_machine(&mut self, machine: &str) {
        self.workers.remove(machine);
        self.fleet.remove_scaled_in_machines(&[machine.into()], self.now);
    }

    /// Partitions a machine from the leader for the given time.
    pub fn partition(&mut self, machine: &str, time: Micros) {
        let until = self.now + time;
        self.workers.get_mut(machine).expect("a machine").partitioned_until = until;
    }

    /// Gives a machine a spot interruption notice: the cloud reclaims the machine after the given time.
    pub fn send_spot_notice(&mut self, machine: &str, time: Micros) {
        let at = self.now + time;
        let worker = self.workers.get_mut(machine).expect("a machine");
        worker.reclaimed_at = Some(at);
        worker.next_heartbeat = self.now;
    }
}

/// A cluster with a service whose only replica runs on machine `a`, and with a second machine `b` that has
/// capacity.
pub fn cluster_with_a_replica_on_a() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(&["a"]);
    cluster.submit(service(1, 1));
    cluster.run_until(SERVICE, 1, secs(10.0));
    cluster.add_machine("b", "north");
    // The replica has run long enough that its end does not count as a failure.
    cluster.run(secs(40.0));
    assert_eq!(cluster.machines_of(SERVICE), ["a"]);
    cluster
}
