//! A cell that lends tasks. Its state store, its machines and the borrower are simulated. Its controllers are
//! real ones of this version, which the state store elects; between their terms, models of earlier versions
//! can lead the cell.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;

use milletlock::api::RequestOrigin;
use milletlock::config::{Config, OperatorConfig, PlatformConfig};
use milletlock::controller::{Controller, LendingPolicy, ProgressKeeper};
use milletlock::http::{Request, Response};
use milletlock::leadership::{LEADER_KEY, SHARD_KEY, TERM_KEY};
use milletlock::loan_messages::{report_to_proto, request_from_proto};
use milletlock::peer::{
    proto, Ack, JobNews, LoanReply, OutboundMessage, PeerHub, PeerMessage, PeerReply, Summary,
};
use milletlock::state::{AllowedRates, RateShares, StateStoreClient};
use milletlock::time::{wall, Clock, Micros, Steady};
use milletlock::wire::{Change, ExitReason, Guard, HeartbeatReply, TaskStage, Txn, WorkerCommand};
use milletlock_cells::{LoanAction, LoanItem, LoanNumber, LoanReport, LoanState, LoanSyncRequest, TaskSet};
use serde_json::{json, Value};

use super::gate::Gate;
use super::servers::{cloud, serve_opt};
use super::state_store_server::{read_response, transaction, transaction_response};
use super::store::Store;
use super::store_faults::StoreFaults;
use super::worker::{Attempt, Task, WorkerState};
use super::{platform_json, production, spec};

/// The `cells` settings of the lender. The lender is named `here`, the borrower `there`.
const CELLS: &str =
    "cells {\n name = \"here\"\n others = [{ name = \"there\", controllers = [\"127.0.0.1:1\"] }]\n \
                     lend = [\"any\"]\n borrow = [\"any\"]\n borrow_cpus = 20\n lend_after_s = 0\n}\n";

/// Id of the only job.
pub const JOB: &str = "wk-000001";
/// The number of the job's tasks.
pub const TASKS: u32 = 40;
/// Time between two heartbeats of a machine.
pub const STEP: Micros = Micros(500_000);
/// Number of steps within which all writes that a start or a result causes are stored.
pub const SETTLE_STEPS: usize = 8;
/// Maximum size in bytes of a value in the state store, by the settings of these tests.
pub const VALUE_BYTES: usize = 4096;

/// The simulated borrower. It accepts each loan that it is offered.
#[derive(Default)]
pub struct Borrower {
    /// The borrowed tasks of each accepted loan.
    pub loans: BTreeMap<LoanNumber, TaskSet>,
    /// Tasks that the borrower has completed.
    pub done: TaskSet,
    /// Tasks that the borrower returns when it handles the next request. Set by the test.
    pub tasks_to_return: TaskSet,
    /// Whether the borrower leaves all requests unanswered.
    pub is_cut_off: bool,
    /// Whether the borrower reports no spare CPUs, so that the lender offers no further loans.
    pub is_full: bool,
}

impl Borrower {
    /// Handles a request of the lender: drops the loans up to `horizon` that the request does not list, and
    /// reports on each loan that it lists.
    fn on_request(&mut self, request: &LoanSyncRequest) -> Vec<LoanReport> {
        let is_named = |number: &LoanNumber| request.loans.iter().any(|item| item.number == *number);
        self.loans.retain(|number, _| *number > request.horizon || is_named(number));
        request.loans.iter().map(|item| self.on_item(item)).collect()
    }

    /// Applies what the lender requests for one loan; returns the report on the loan.
    fn on_item(&mut self, item: &LoanItem) -> LoanReport {
        if item.offer.is_some() && item.action == LoanAction::Run {
            self.loans.entry(item.number).or_insert_with(|| item.tasks.clone());
        }
        if item.action == LoanAction::Cancel {
            self.loans.remove(&item.number);
        }
        if let Some(tasks) = self.loans.get_mut(&item.number) {
            *tasks = tasks.difference(&self.tasks_to_return);
        }
        let state = match self.loans.get(&item.number) {
            Some(tasks) => LoanState::Accepted { tasks: tasks.clone(), done: tasks.intersection(&self.done) },
            None => LoanState::Closed,
        };
        LoanReport { number: item.number, state }
    }

    /// Makes the borrower return all unfinished tasks when it handles the next request.
    pub fn return_unfinished(&mut self) {
        self.tasks_to_return = self.tasks().difference(&self.done);
    }

    /// All borrowed tasks, finished ones included.
    pub fn tasks(&self) -> TaskSet {
        TaskSet::union_of(self.loans.values())
    }
}

/// A simulated machine of the lender.
pub struct Machine {
    pub state: WorkerState,
    /// How often each task has started on this machine, by task number.
    pub started: BTreeMap<u32, usize>,
    /// Numbers of the completed tasks that a leader has had this machine forget. Tasks that
    /// `discard_all_tasks` removes are not included.
    pub forgotten_results: BTreeSet<u32>,
}

impl Machine {
    /// A machine without tasks.
    pub fn new(id: &str) -> Machine {
        let state = WorkerState::new(id.to_string(), "north", Steady(0));
        Machine { state, started: BTreeMap::new(), forgotten_results: BTreeSet::new() }
    }

    /// Completes all running tasks.
    pub fn finish_all(&mut self) {
        for task in self.state.tasks.values_mut().filter(|task| task.stage == TaskStage::Running) {
            task.enter(TaskStage::Exited, Some(ExitReason::Done), Steady(0));
        }
    }

    /// Completes one running task.
    pub fn finish_one(&mut self) {
        let running = self.state.tasks.values_mut().find(|task| task.stage == TaskStage::Running);
        running.expect("a running task").enter(TaskStage::Exited, Some(ExitReason::Done), Steady(0));
    }

    /// Numbers of the completed tasks that the worker still lists in its heartbeats.
    pub fn pending_results(&self) -> BTreeSet<u32> {
        let done = self.state.tasks.iter().filter(|(_, task)| task.exit_reason == Some(ExitReason::Done));
        done.map(|(attempt, _)| number_of(&attempt.0)).collect()
    }

    /// Removes all tasks, running ones included, as an earlier version halts and forgets the tasks of a job
    /// whose record it cannot read.
    pub fn discard_all_tasks(&mut self) {
        self.state.tasks.clear();
    }

    /// Numbers of the running tasks.
    pub fn running(&self) -> BTreeSet<u32> {
        self.state.executing().map(|attempt| number_of(&attempt.0)).collect()
    }

    /// Executes a command of a leader of any version.
    pub fn execute(&mut self, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start { task, attempt } => {
                let key: Attempt = (task.clone(), *attempt);
                let running = Task::new(TaskStage::Running, Micros::ZERO, Steady(0));
                if self.state.tasks.insert(key, running).is_none() {
                    *self.started.entry(number_of(task)).or_default() += 1;
                }
            }
            WorkerCommand::Halt { task, attempt, .. } => {
                self.state.halt(task, *attempt);
            }
            WorkerCommand::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                let is_done = |task: &Task| task.exit_reason == Some(ExitReason::Done);
                if self.state.tasks.get(&key).is_some_and(is_done) {
                    self.forgotten_results.insert(number_of(task));
                }
                self.state.forget(task, *attempt);
            }
        }
    }
}

/// The number of a task within its job.
fn number_of(task: &str) -> u32 {
    milletlock::jobs::split_task(task).expect("a task").1
}

/// The lender with its state store, its simulated cloud, the borrower and the clock.
pub struct World {
    store: Arc<Mutex<Store>>,
    state: SocketAddr,
    cloud: SocketAddr,
    clock: Arc<AtomicI64>,
    borrower: Arc<Mutex<Borrower>>,
    /// Whether the state store refuses each transaction that writes a copy of lent jobs' progress (`lent/`).
    pub refuses_copies: Arc<AtomicBool>,
    faults: Arc<Mutex<StoreFaults>>,
    /// Holds the answers to reads of single keys, by key. The read has been executed when its answer is held.
    pub reads: Arc<Gate>,
    /// Holds the answers to transactions, by the first key that they change. The transaction has been executed
    /// or lost when its answer is held.
    pub transactions: Arc<Gate>,
}

impl World {
    /// A cell with an empty state store, which no controller leads.
    pub fn new() -> World {
        let store: Arc<Mutex<Store>> = Arc::default();
        let served = store.clone();
        let refuses_copies: Arc<AtomicBool> = Arc::default();
        let refuses = refuses_copies.clone();
        let faults: Arc<Mutex<StoreFaults>> = Arc::default();
        let served_faults = faults.clone();
        let (reads, transactions): (Arc<Gate>, Arc<Gate>) = Default::default();
        let (read_gate, transaction_gate) = (reads.clone(), transactions.clone());
        let state = serve_opt(move |request| {
            let mut store = served.lock().expect("the store");
            Some(match (request.method.as_str(), request.path.split('?').next().unwrap_or("")) {
                ("POST", "/leases") => Response::json(200, &json!({ "tenure": 1 })),
                ("POST", "/txn") => {
                    let txn = transaction(&request);
                    let writes_copy = txn.then.iter().any(|change| change.key().starts_with("lent/"));
                    let mut faults = served_faults.lock().expect("the faults");
                    if writes_copy && refuses.load(Ordering::SeqCst) || faults.refuses(&txn) {
                        return Some(Response::error(503, "refused"));
                    }
                    let result = faults.execute(&mut store, &txn);
                    drop(faults);
                    let response = result.map(|result| transaction_response(&store, result));
                    drop(store);
                    transaction_gate.pass(txn.then.first().map_or("", Change::key));
                    response?
                }
                ("GET", path) => {
                    let response = read_response(&store, &request);
                    drop(store);
                    read_gate.pass(path.trim_start_matches("/keys/"));
                    response
                }
                _ => Response::json(200, &json!({})),
            })
        });
        World {
            store,
            state,
            cloud: cloud(),
            clock: Arc::new(AtomicI64::new(1_000_000_000)),
            borrower: Arc::default(),
            refuses_copies,
            faults,
            reads,
            transactions,
        }
    }

    /// Faults of the transactions that write a job's live or final record.
    pub fn faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults.lock().expect("the faults")
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("the store")
    }

    pub fn borrower(&self) -> MutexGuard<'_, Borrower> {
        self.borrower.lock().expect("the borrower")
    }

    /// Elects a controller of this version as the leader; it has read all records of the state store.
    pub fn leader(&self) -> Leader<'_> {
        self.leader_with(CELLS)
    }

    /// Like `leader`, but the controller's settings have no `cells` block.
    pub fn leader_without_cells(&self) -> Leader<'_> {
        self.leader_with("")
    }

    /// Like `leader`, but with a second controller, which reports `version`.
    pub fn leader_beside(&self, version: &'static str) -> Leader<'_> {
        let leader = self.controller("c-0", CELLS, Some(version));
        leader.controller.maintain_leadership_once(Micros::from_secs(3.0));
        leader.controller.announce_once();
        leader
    }

    fn leader_with(&self, operator: &str) -> Leader<'_> {
        let leader = self.controller("c-0", operator, None);
        leader.controller.maintain_leadership_once(Micros::from_secs(3.0));
        leader
    }

    /// A controller of this version that takes part in no election until its `fail_over` is called.
    pub fn follower(&self) -> Leader<'_> {
        self.controller("c-1", CELLS, Some(""))
    }

    /// A controller of this version. With `beside`, there is a second controller, which reports that version.
    fn controller(&self, label: &str, operator: &str, beside: Option<&'static str>) -> Leader<'_> {
        let mut settings = platform_json();
        settings["label"] = json!(label);
        if beside.is_some() {
            let other = if label == "c-0" { "c-1" } else { "c-0" };
            settings["members"] = json!([{ "label": other, "addr": "127.0.0.1:1" }]);
        }
        settings["services"] = json!({ "cloud": self.cloud, "state": self.state });
        let platform = PlatformConfig::parse(&settings.to_string(), "test").expect("settings");
        let operator = OperatorConfig::parse(operator, "test").expect("settings");
        let policy = operator.cells.as_ref().map(LendingPolicy::new);
        let borrower = self.borrower.clone();
        let transport = move |out: OutboundMessage| {
            let PeerMessage::Lend(message) = &out.message else {
                let version = beside.unwrap_or_default().into();
                out.answer(Ok(PeerReply::Ack(Ack { token: 0, version })));
                return Ok(());
            };
            let request = request_from_proto(message).expect("a request");
            let mut borrower = borrower.lock().expect("the borrower");
            if !borrower.is_cut_off {
                let reports = borrower.on_request(&request);
                let spare_cpus = if borrower.is_full { 0.0 } else { 100.0 };
                out.answer(Ok(PeerReply::Loans(loan_reply(spare_cpus, &reports))));
            }
            Ok(())
        };
        let config = Config { platform, operator };
        let asked_controllers = usize::from(label == "c-0" && beside.is_some());
        let peers = PeerHub::with_transport(asked_controllers, transport);
        let clock = Clock::Manual(self.clock.clone());
        let controller = Controller::new(config, peers, clock, Arc::default()).expect("a controller");
        assert!(controller.load_machine_types_once());
        Leader { world: self, controller, policy, keeper: ProgressKeeper::default() }
    }

    /// A client of the state store, with rates that no test reaches.
    pub fn state_client(&self) -> StateStoreClient {
        let rates = AllowedRates { requests_per_s: 1000.0, writes_per_s: 1000.0 };
        StateStoreClient::new(self.state, rates, RateShares { requests: 1.0, writes: 1.0 })
    }

    /// Elects a leader of the version in production and lets it write until it has nothing left to write. The
    /// leader sends no commands to workers, like a leader that is killed before the next heartbeat.
    pub fn run_earlier_leader(&self) {
        let mut store = self.store();
        let (part, token) = earlier_election(&mut store);
        let mut leader = production::Owner::load(part, token, VALUE_BYTES, &store.rows(""));
        for _ in 0..1000 {
            let Some(txn) = leader.next_write() else { return };
            match store.txn(&txn) {
                Ok(revision) => leader.written(revision),
                Err(failed) => leader.refused(&failed),
            }
        }
        panic!("the leader still has something to write after 1000 transactions");
    }

    /// Elects a leader of the version in production; returns the revision of the shard's record and the
    /// fencing token.
    pub fn elect_earlier_leader(&self) -> (u64, u64) {
        earlier_election(&mut self.store())
    }

    /// Executes the transactions that are late.
    pub fn execute_late_transactions(&self) {
        let mut store = self.store();
        self.faults().execute_late(&mut store);
    }

    /// The present time of the controllers' clock.
    pub fn now(&self) -> Steady {
        Steady(self.clock.load(Ordering::SeqCst))
    }

    /// Advances the clock; nothing else happens in that time.
    pub fn wait(&self, time: Micros) {
        self.clock.fetch_add(time.0, Ordering::SeqCst);
    }

    /// The job's stored record.
    pub fn job_row(&self) -> Option<Value> {
        self.store().row(&format!("job/{JOB}")).map(|row| row.value)
    }

    /// The value stored under the key of the job's final record.
    pub fn final_row(&self) -> Option<Value> {
        self.store().row(&format!("final/{JOB}")).map(|row| row.value)
    }

    /// The copy of the job's start mark; 0 if there is none.
    pub fn copied_mark(&self) -> u64 {
        let row = self.store().row(&format!("lent/marks/{JOB}"));
        row.and_then(|row| row.value.as_u64()).unwrap_or(0)
    }

    /// Removes all copies of progress, as 0.3.0 writes none.
    pub fn remove_copies(&self) {
        self.store().keys.retain(|key, _| !key.starts_with("lent/"));
    }

    /// The tasks of the job that the copies list as done.
    pub fn copied_done(&self) -> BTreeSet<u32> {
        let rows = self.store().rows(&format!("lent/done/{JOB}/"));
        rows.iter().flat_map(|row| production::tasks_of_text(row.value.as_str().expect("a text"))).collect()
    }

    /// The tasks of the job in the done ranges that the version in production reads.
    pub fn recorded_done(&self) -> BTreeSet<u32> {
        production::done_in(&self.store(), JOB)
    }
}

/// Writes the election of a leader of the version in production; returns the revision of the shard's record
/// and the fencing token.
fn earlier_election(store: &mut Store) -> (u64, u64) {
    let token = store.row(TERM_KEY).map_or(0, |row| row.value["n"].as_u64().expect("a number")) + 1;
    let owner = json!({ "label": "c-0", "incarnation": token, "token": token, "lease": 1 });
    let guards = [LEADER_KEY, TERM_KEY, SHARD_KEY]
        .map(|key| Guard { key: key.into(), mod_revision: store.mod_revision(key) })
        .to_vec();
    let then = vec![
        Change::put(LEADER_KEY, owner.clone()),
        Change::put(TERM_KEY, json!({ "n": token })),
        Change::put(SHARD_KEY, owner),
    ];
    (store.txn(&Txn { guards, then }).expect("elected"), token)
}

/// A borrower's reply with reports on loans and a summary of its spare capacity.
fn loan_reply(spare_cpus: f64, reports: &[LoanReport]) -> LoanReply {
    let summary = proto::CellSummary {
        form: 1,
        composed_us: wall().0,
        free_cpus: [("small".to_string(), spare_cpus)].into(),
        spare_cpus,
        ..proto::CellSummary::default()
    };
    LoanReply {
        from: "there".into(),
        term: 1,
        leads: true,
        summary: Some(summary),
        reports: reports.iter().map(report_to_proto).collect(),
        ..LoanReply::default()
    }
}

/// A controller of this version. It leads unless `World::follower` made it.
pub struct Leader<'a> {
    world: &'a World,
    pub controller: Arc<Controller>,
    policy: Option<LendingPolicy>,
    keeper: ProgressKeeper,
}

impl<'a> Leader<'a> {
    /// The cell that the controller belongs to.
    pub fn world(&self) -> &'a World {
        self.world
    }

    /// Delivers an announcement of the leader that the stored records name, with `version` as its version.
    pub fn receive_leader_announcement(&self, version: &str) {
        let token = self.world.store().row(TERM_KEY).expect("a term").value["n"].as_u64().expect("a number");
        let summary = Summary { leader: "c-0".into(), token, version: version.into(), ..Summary::default() };
        self.controller.handle_peer_message(&PeerMessage::Announce(summary));
    }

    /// Lets the current leader's lease expire, and has this controller take part in the election.
    pub fn fail_over(&self) {
        self.world.store().keys.remove(LEADER_KEY);
        self.controller.maintain_leadership_once(Micros::from_secs(3.0));
    }

    /// Runs one round in which a follower copies the progress of lent jobs beside an earlier leader.
    pub fn keep_progress(&mut self) {
        self.world.wait(Micros::from_secs(2.0));
        self.controller.keep_progress_once(&mut self.keeper);
    }

    /// Sends a user's request; returns the status code and the body of the response.
    pub fn user_request(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let body = body.to_string().into_bytes();
        let request = Request { method: method.into(), path: path.into(), body };
        let response = self.controller.answer(&request, RequestOrigin::Http);
        (response.status, serde_json::from_slice(&response.body).unwrap_or(Value::Null))
    }

    /// The status that operators see.
    pub fn status(&self) -> Value {
        let request = Request { method: "GET".into(), path: "/status".into(), body: Vec::new() };
        let response = self.controller.answer(&request, RequestOrigin::Peer);
        serde_json::from_slice(&response.body).expect("a status")
    }

    /// Sends an operator's request to write off the loans of the borrower; returns the status code.
    pub fn write_off(&self) -> u16 {
        let request =
            Request { method: "POST".into(), path: "/cells/write-off/there".into(), body: Vec::new() };
        self.controller.answer(&request, RequestOrigin::Peer).status
    }

    /// Submits the job.
    pub fn submit(&self) {
        assert_eq!(self.user_request("POST", "/api/jobs", &json!(spec(1, TASKS, "batch"))).0, 201);
    }

    /// Sends a user's request to cancel the job; returns the status code.
    pub fn cancel(&self) -> u16 {
        self.user_request("POST", &format!("/api/jobs/{JOB}/withdraw"), &Value::Null).0
    }

    /// The job's stage as users see it; empty if the response has none.
    pub fn stage(&self) -> String {
        self.user_request("GET", &format!("/api/jobs/{JOB}"), &Value::Null).1["stage"]
            .as_str()
            .unwrap_or("")
            .into()
    }

    /// Exchanges one round of messages between the cells.
    pub fn lend(&mut self) {
        if let Some(policy) = &mut self.policy {
            self.controller.lend_once(policy);
        }
    }

    /// Exchanges one round of messages between the cells in another thread. `lend` does nothing until the round
    /// has been passed to `finish_lending`.
    pub fn lend_in_background(&mut self) -> JoinHandle<LendingPolicy> {
        let mut policy = self.policy.take().expect("settings with cells");
        let controller = self.controller.clone();
        std::thread::spawn(move || {
            controller.lend_once(&mut policy);
            policy
        })
    }

    /// Waits for the end of a round of messages.
    pub fn finish_lending(&mut self, round: JoinHandle<LendingPolicy>) {
        self.policy = Some(round.join().expect("the lending duty"));
    }

    /// Delivers the message of the controller that has written the job's present record.
    pub fn receive_job_record(&self) {
        let row = self.world.store().row(&format!("job/{JOB}")).expect("the job");
        let record = serde_json::to_vec(&row.value).expect("a record");
        let news = JobNews { id: JOB.into(), record, revision: row.mod_revision };
        self.controller.handle_peer_message(&PeerMessage::Notify(news));
    }

    /// Submits the job, lends some of its tasks, and starts others on the machine.
    pub fn submit_and_lend(&mut self, machine: &mut Machine) {
        self.submit();
        self.steps(machine, SETTLE_STEPS);
        self.lend_until_accepted(machine);
        self.steps(machine, SETTLE_STEPS);
        assert!(machine.running().len() > 2, "{:?}", machine.running());
    }

    /// Exchanges messages between the cells until the borrower has accepted tasks.
    pub fn lend_until_accepted(&mut self, machine: &mut Machine) {
        for _ in 0..SETTLE_STEPS {
            self.lend();
            if !self.world.borrower().tasks().is_empty() {
                return;
            }
            self.step(machine);
        }
        panic!("no tasks are lent");
    }

    /// Runs one step of `STEP`: a machine's heartbeat with its reply, and the controller's periodic work.
    pub fn step(&mut self, machine: &mut Machine) {
        self.heartbeat(machine);
        self.idle_step();
    }

    /// Sends a machine's heartbeat and applies the reply; returns the status code of the response.
    pub fn heartbeat(&mut self, machine: &mut Machine) -> u16 {
        let message = machine.state.heartbeat();
        let body = serde_json::to_vec(&message).expect("a heartbeat");
        let request = Request { method: "POST".into(), path: "/checkin".into(), body };
        let response = self.controller.answer(&request, RequestOrigin::Http);
        if let Ok(reply) = serde_json::from_slice::<HeartbeatReply>(&response.body) {
            machine.state.accept_reply(reply.fencing_token, Steady(0));
            reply.commands.iter().for_each(|command| machine.execute(command));
        }
        response.status
    }

    /// Runs one step of `STEP` without a heartbeat.
    pub fn idle_step(&mut self) {
        self.world.wait(STEP);
        self.controller.maintain_leadership_once(Micros::from_secs(3.0));
        self.controller.watch_once();
        self.controller.plan_once();
        self.controller.write_once();
    }

    /// Runs `count` steps.
    pub fn steps(&mut self, machine: &mut Machine, count: usize) {
        (0..count).for_each(|_| self.step(machine));
    }
}
