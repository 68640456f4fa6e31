//! A plain model of cells that lend to each other: durable records behind transactions that may be
//! applied late, owners that crash between any two steps, and messages that are lost, doubled, reordered
//! and late. The rules are asserted at every step.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use milletlock_cells::{
    BorrowedJob, CellSummary, GuestChange, GuestLedger, HomeLedger, Lending, Loan, LoanItem, LoanNumber,
    LocalTasks, Offer, Refusal, Reply, Request, TaskSet, Wish,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// A task: the job's id and the task's number.
pub type Task = (String, u32);

/// A record in a cell's state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job's loans, at its home.
    Lending(Lending),
    /// A borrowed job, at a guest.
    Borrowed(BorrowedJob),
    /// A home's high-water mark, at a guest.
    HighWater(LoanNumber),
    /// Tasks that are done, of an own or a borrowed job.
    Done(TaskSet),
    /// The job was confirmed as cancelled.
    Cancelled,
}

/// A guarded transaction: applied if the term is the present one and all keys have these versions.
#[derive(Clone, Debug)]
pub struct Txn {
    term: u64,
    guards: Vec<(String, u64)>,
    writes: Vec<(String, Option<Record>)>,
}

/// A cell's state service.
#[derive(Default)]
pub struct Store {
    term: u64,
    revision: u64,
    keys: BTreeMap<String, (Record, u64)>,
    /// Transactions that may still be applied.
    late: Vec<Txn>,
}

impl Store {
    fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    fn apply(&mut self, txn: &Txn) -> bool {
        if txn.term != self.term || txn.guards.iter().any(|(key, stamp)| self.stamp(key) != *stamp) {
            return false;
        }
        self.revision += 1;
        for (key, record) in &txn.writes {
            match record {
                Some(record) => {
                    self.keys.insert(key.clone(), (record.clone(), self.revision));
                }
                None => {
                    self.keys.remove(key);
                }
            }
        }
        true
    }

    fn done(&self, key: &str) -> TaskSet {
        match self.keys.get(key) {
            Some((Record::Done(tasks), _)) => tasks.clone(),
            _ => TaskSet::new(),
        }
    }
}

/// What an owner knows; a crash loses it.
struct Owner {
    term: u64,
    home: HomeLedger,
    guest: GuestLedger,
    /// Versions of the records as this owner knows them.
    stamps: BTreeMap<String, u64>,
    /// Tasks that a write in flight lends or gives back.
    withheld: BTreeMap<String, TaskSet>,
    /// Writes without an answer: sent again until they have one.
    unresolved: Vec<(Txn, Option<GuestChange>)>,
    /// Numbers of loans that are being written, by job.
    lending: BTreeMap<String, LoanNumber>,
    /// Loans that guests are known to hold.
    accepted: BTreeSet<LoanNumber>,
}

/// A job at its home.
pub struct Job {
    tasks: u32,
    home: usize,
    /// Its user asked for its end.
    cancel_asked: bool,
}

/// A cell.
pub struct Cell {
    name: String,
    pub store: Store,
    owner: Owner,
    /// What its machines run. It outlives the owner.
    running: BTreeSet<Task>,
    /// Results on machines that are not recorded yet.
    results: BTreeSet<Task>,
    slots: usize,
}

/// Messages between cells.
enum Message {
    Request { to: usize, request: Request },
    Reply { to: usize, from: usize, reply: Reply },
}

/// How harsh a world is: chances in a thousand for each step.
#[derive(Clone, Copy)]
pub struct Troubles {
    pub lost: u32,
    pub doubled: u32,
    pub crash: u32,
    /// A transaction without an answer.
    pub unanswered: u32,
}

impl Troubles {
    /// None at all.
    pub const NONE: Troubles = Troubles { lost: 0, doubled: 0, crash: 0, unanswered: 0 };
}

/// Some cells, their jobs, and the messages on their way.
pub struct World {
    pub cells: Vec<Cell>,
    jobs: BTreeMap<String, Job>,
    messages: Vec<Message>,
    rng: StdRng,
    troubles: Troubles,
    /// Each task that ever started, with its cell.
    started: BTreeMap<Task, usize>,
    /// Each task that finished, with its cell.
    finished: BTreeMap<Task, usize>,
    confirmed_cancelled: BTreeSet<String>,
}

fn lending_key(job: &str) -> String {
    format!("job/{job}")
}

fn borrowed_key(job: &str) -> String {
    format!("borrowed/{job}")
}

fn mark_key(home: &str) -> String {
    format!("mark/{home}")
}

fn done_key(job: &str) -> String {
    format!("done/{job}")
}

fn borrowed_done_key(job: &str) -> String {
    format!("borrowed-done/{job}")
}

fn cancelled_key(job: &str) -> String {
    format!("final/{job}")
}

/// The tasks of a cell's machines, as its guest ledger asks for them.
struct Machines<'a> {
    running: &'a BTreeSet<Task>,
    results: &'a BTreeSet<Task>,
    store: &'a Store,
    room: u32,
}

impl LocalTasks for Machines<'_> {
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet {
        let done = self.store.done(&borrowed_done_key(job));
        let is_unstarted = |n: &u32| {
            let task = (job.to_string(), *n);
            !done.contains(*n) && !self.running.contains(&task) && !self.results.contains(&task)
        };
        tasks.iter().filter(is_unstarted).collect()
    }

    fn admit(&self, item: &LoanItem, _offer: &Offer) -> Result<(), Refusal> {
        if item.tasks.len() > self.room {
            return Err(Refusal::NoRoom(item.tasks.len()));
        }
        Ok(())
    }
}

impl Owner {
    /// An owner that has read the records.
    fn rebuild(store: &Store) -> Owner {
        let mut owner = Owner {
            term: store.term,
            home: HomeLedger::new(store.term),
            guest: GuestLedger::default(),
            stamps: BTreeMap::new(),
            withheld: BTreeMap::new(),
            unresolved: Vec::new(),
            lending: BTreeMap::new(),
            accepted: BTreeSet::new(),
        };
        let keys: Vec<String> = store.keys.keys().cloned().collect();
        keys.iter().for_each(|key| owner.read(store, key));
        owner
    }

    /// Reads a record.
    fn read(&mut self, store: &Store, key: &str) {
        let (kind, name) = key.split_once('/').expect("a key");
        self.stamps.insert(key.to_string(), store.stamp(key));
        match (kind, store.keys.get(key).map(|k| &k.0)) {
            ("job", Some(Record::Lending(lending))) => self.home.load(name, lending.clone()),
            ("job", None) => self.home.remove(name),
            ("borrowed", Some(Record::Borrowed(record))) => self.guest.load(name, record.clone()),
            ("borrowed", None) => {
                let home = self.guest.job(name).map(|record| record.home.clone()).unwrap_or_default();
                self.guest.remove(&home, name);
            }
            ("mark", Some(Record::HighWater(number))) => self.guest.load_high_water(name, *number),
            _ => {}
        }
    }

    fn stamp(&self, key: &str) -> u64 {
        self.stamps.get(key).copied().unwrap_or(0)
    }

    fn guard(&self, key: String) -> (String, u64) {
        let stamp = self.stamp(&key);
        (key, stamp)
    }

    fn is_withheld(&self, job: &str, task: u32) -> bool {
        self.withheld.get(job).is_some_and(|tasks| tasks.contains(task))
    }

    /// Whether a write about the job has no answer yet.
    fn is_unresolved(&self, key: &str) -> bool {
        self.unresolved.iter().any(|(txn, _)| txn.guards.iter().any(|(guard, _)| guard == key))
    }
}

impl World {
    /// Cells with jobs of arrays, most of them in the first.
    pub fn new(cells: usize, seed: u64, troubles: Troubles) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let cell = |i: usize| {
            let store = Store { term: 1, ..Store::default() };
            let owner = Owner::rebuild(&store);
            let slots = if i == 0 { 2 } else { 4 };
            Cell {
                name: format!("cell-{i}"),
                store,
                owner,
                running: BTreeSet::new(),
                results: BTreeSet::new(),
                slots,
            }
        };
        let cells: Vec<Cell> = (0..cells).map(cell).collect();
        let mut jobs = BTreeMap::new();
        for n in 0..rng.random_range(2..6) {
            let home = if rng.random_range(0..4) > 0 { 0 } else { rng.random_range(0..cells.len()) };
            jobs.insert(format!("wk-{n}"), Job { tasks: rng.random_range(1..30), home, cancel_asked: false });
        }
        World {
            cells,
            jobs,
            messages: Vec::new(),
            rng,
            troubles,
            started: BTreeMap::new(),
            finished: BTreeMap::new(),
            confirmed_cancelled: BTreeSet::new(),
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1000) < per_mille
    }

    /// A few things that happen, one cell's after the other's.
    pub fn step(&mut self) {
        for i in 0..self.cells.len() {
            if self.chance(self.troubles.crash) {
                self.crash(i);
            }
            self.apply_late(i);
            self.retry_unresolved(i);
            match self.rng.random_range(0..6) {
                0 => self.lend(i),
                1 => self.send(i),
                2 => self.record_results(i),
                3 => self.finish_some(i),
                4 => self.confirm_cancellations(i),
                _ => self.start_some(i),
            }
        }
        self.deliver();
        if self.troubles.crash > 0 && self.chance(3) {
            self.ask_cancellation();
        }
    }

    /// The owner dies between two steps; the next one reads the records, hears all machines and halts what
    /// it does not know.
    fn crash(&mut self, i: usize) {
        let cell = &mut self.cells[i];
        cell.store.term += 1;
        cell.owner = Owner::rebuild(&cell.store);
        for job in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.halt_dropped(i, &job);
        }
    }

    fn apply_late(&mut self, i: usize) {
        if !self.cells[i].store.late.is_empty() && self.chance(200) {
            let at = self.rng.random_range(0..self.cells[i].store.late.len());
            let txn = self.cells[i].store.late.remove(at);
            self.cells[i].store.apply(&txn);
        }
    }

    /// Sends a transaction: whether it was applied, or none without an answer.
    fn send_txn(&mut self, i: usize, txn: &Txn) -> Option<bool> {
        if self.chance(self.troubles.unanswered) {
            if self.chance(500) {
                self.cells[i].store.apply(txn);
            } else {
                self.cells[i].store.late.push(txn.clone());
            }
            return None;
        }
        Some(self.cells[i].store.apply(txn))
    }

    /// Writes, and learns the outcome.
    fn write(&mut self, i: usize, txn: Txn, change: Option<GuestChange>) {
        match self.send_txn(i, &txn) {
            Some(_) => self.resolved(i, &txn, change.as_ref()),
            None => self.cells[i].owner.unresolved.push((txn, change)),
        }
    }

    /// A write has an answer: whatever it is, no copy of it can be applied later. Its keys are read back.
    fn resolved(&mut self, i: usize, txn: &Txn, change: Option<&GuestChange>) {
        let Cell { store, owner, .. } = &mut self.cells[i];
        txn.guards.iter().for_each(|(key, _)| owner.read(store, key));
        let jobs = txn.guards.iter().filter_map(|(key, _)| key.split_once('/'));
        jobs.for_each(|(_, job)| {
            owner.withheld.remove(job);
            if let Some(number) = owner.lending.remove(job) {
                owner.home.decided(number);
            }
        });
        if let Some(change) = change {
            self.halt_dropped(i, &change.job);
        }
    }

    /// Tasks of a borrowed job that is not held any more are halted.
    fn halt_dropped(&mut self, i: usize, job: &str) {
        let cell = &mut self.cells[i];
        let held = cell.owner.guest.job(job).map(|record| record.tasks()).unwrap_or_default();
        let home = self.jobs[job].home;
        cell.running.retain(|(j, n)| j != job || home == i || held.contains(*n));
        cell.results.retain(|(j, n)| j != job || home == i || held.contains(*n));
    }

    fn retry_unresolved(&mut self, i: usize) {
        for (txn, change) in std::mem::take(&mut self.cells[i].owner.unresolved) {
            self.write(i, txn, change);
        }
    }

    fn is_cancelling(&self, i: usize, job: &str) -> bool {
        let store = &self.cells[i].store;
        store.keys.contains_key(&cancelled_key(job))
            || matches!(store.keys.get(&lending_key(job)), Some((Record::Lending(l), _)) if l.cancelling)
    }

    /// Own tasks that may start or be lent: not done, nowhere, not lent, and the job goes on.
    fn startable_own(&self, i: usize, job: &str) -> Vec<u32> {
        let cell = &self.cells[i];
        if self.jobs[job].home != i || self.is_cancelling(i, job) {
            return Vec::new();
        }
        let lent = cell.owner.home.lending(job).map(Lending::tasks).unwrap_or_default();
        let done = cell.store.done(&done_key(job));
        let free = |n: &u32| {
            let task = (job.to_string(), *n);
            !lent.contains(*n)
                && !done.contains(*n)
                && !cell.owner.is_withheld(job, *n)
                && !cell.running.contains(&task)
                && !cell.results.contains(&task)
        };
        (0..self.jobs[job].tasks).filter(free).collect()
    }

    /// Borrowed tasks that may start.
    fn startable_borrowed(&self, i: usize, job: &str) -> Vec<u32> {
        let cell = &self.cells[i];
        let Some(record) = cell.owner.guest.job(job) else { return Vec::new() };
        let machines =
            Machines { running: &cell.running, results: &cell.results, store: &cell.store, room: 0 };
        let unstarted = machines.unstarted(job, &record.tasks());
        unstarted.iter().filter(|n| !cell.owner.is_withheld(job, *n)).collect()
    }

    fn start_some(&mut self, i: usize) {
        for job in self.jobs.keys().cloned().collect::<Vec<_>>() {
            let startable = [self.startable_own(i, &job), self.startable_borrowed(i, &job)].concat();
            for n in startable {
                if self.cells[i].running.len() >= self.cells[i].slots {
                    return;
                }
                self.start(i, (job.clone(), n));
            }
        }
    }

    fn start(&mut self, i: usize, task: Task) {
        assert!(
            !self.confirmed_cancelled.contains(&task.0),
            "{task:?} starts in cell {i} though its job is confirmed as cancelled"
        );
        let before = self.started.insert(task.clone(), i);
        assert_eq!(before, None, "{task:?} starts again, in cell {i}");
        self.cells[i].running.insert(task);
    }

    fn finish_some(&mut self, i: usize) {
        let running: Vec<Task> = self.cells[i].running.iter().cloned().collect();
        for task in running {
            if self.chance(500) {
                self.cells[i].running.remove(&task);
                self.cells[i].results.insert(task.clone());
                assert_eq!(self.finished.insert(task.clone(), i), None, "{task:?} finishes again");
            }
        }
    }

    /// Records results; the machines keep them until that is certain.
    fn record_results(&mut self, i: usize) {
        let jobs: BTreeSet<String> = self.cells[i].results.iter().map(|(job, _)| job.clone()).collect();
        for job in jobs {
            let is_own = self.jobs[&job].home == i;
            let key = if is_own { done_key(&job) } else { borrowed_done_key(&job) };
            let new: TaskSet = self.cells[i].results.iter().filter(|(j, _)| *j == job).map(|t| t.1).collect();
            self.record_done(i, key, &new);
            let recorded =
                self.cells[i].store.done(&if is_own { done_key(&job) } else { borrowed_done_key(&job) });
            self.cells[i].results.retain(|(j, n)| *j != job || !recorded.contains(*n));
        }
    }

    fn record_done(&mut self, i: usize, key: String, new: &TaskSet) {
        let cell = &self.cells[i];
        let all = cell.store.done(&key).union(new);
        // Without the job's own record among the guards, a late copy could bring back what was dropped
        // with it.
        let job = key.split_once('/').map_or("", |parts| parts.1);
        let own = if key == done_key(job) { lending_key(job) } else { borrowed_key(job) };
        let guards = [&key, &own].map(|key| (key.clone(), cell.store.stamp(key))).to_vec();
        let writes = vec![(key, Some(Record::Done(all)))];
        let txn = Txn { term: cell.owner.term, guards, writes };
        self.send_txn(i, &txn);
    }

    /// Lends some tasks that have not begun.
    fn lend(&mut self, i: usize) {
        let jobs: Vec<String> = self.jobs.keys().cloned().collect();
        let job = jobs[self.rng.random_range(0..jobs.len())].clone();
        let guest = self.rng.random_range(0..self.cells.len());
        let key = lending_key(&job);
        let startable = self.startable_own(i, &job);
        if guest == i || startable.len() < 3 || self.cells[i].owner.is_unresolved(&key) {
            return;
        }
        let count = self.rng.random_range(1..startable.len());
        let tasks: TaskSet = startable.into_iter().rev().take(count).collect();
        let guest = self.cells[guest].name.clone();
        let owner = &mut self.cells[i].owner;
        let Some(number) = owner.home.next_number() else { return };
        // From before the write is sent, none of them may start here.
        owner.withheld.insert(job.clone(), tasks.clone());
        owner.lending.insert(job.clone(), number);
        let lending = owner.home.with_loan(&job, Loan { number, guest, tasks });
        self.write_lending(i, &job, lending);
    }

    fn write_lending(&mut self, i: usize, job: &str, lending: Lending) {
        let owner = &self.cells[i].owner;
        let key = lending_key(job);
        let guards = vec![owner.guard(key.clone()), (cancelled_key(job), 0)];
        let writes = vec![(key, Some(Record::Lending(lending)))];
        let txn = Txn { term: owner.term, guards, writes };
        self.write(i, txn, None);
    }

    /// Sends the others a message about all loans.
    fn send(&mut self, i: usize) {
        let wish = if self.rng.random_range(0..4) == 0 { Wish::Recall } else { Wish::Run };
        for to in (0..self.cells.len()).filter(|to| *to != i).collect::<Vec<_>>() {
            let guest = self.cells[to].name.clone();
            let (jobs, cell) = (&self.jobs, &self.cells[i]);
            let offer = |job: &str, number: LoanNumber| {
                (!cell.owner.accepted.contains(&number))
                    .then(|| Offer { description: json!({ "job": job }), job_tasks: jobs[job].tasks })
            };
            let request = cell.owner.home.request(&cell.name, &guest, cell.owner.term, |_, _| wish, offer);
            self.post(|| Message::Request { to, request: request.clone() });
        }
    }

    /// Puts a message on its way, unless it is lost; maybe twice.
    fn post(&mut self, message: impl Fn() -> Message) {
        if self.chance(self.troubles.lost) {
            return;
        }
        self.messages.push(message());
        if self.chance(self.troubles.doubled) {
            self.messages.push(message());
        }
    }

    /// Some messages arrive, in any order. With troubles, some wait for very long.
    fn deliver(&mut self) {
        let calm = self.troubles.lost == 0;
        let count = if calm { self.messages.len() } else { self.messages.len().min(2) };
        for _ in 0..count {
            let at = if calm { 0 } else { self.rng.random_range(0..self.messages.len()) };
            if !calm && self.messages.len() < 20 && self.chance(300) {
                return;
            }
            match self.messages.remove(at) {
                Message::Request { to, request } => self.handle_request(to, &request),
                Message::Reply { to, from, reply } => self.handle_reply(to, from, &reply),
            }
        }
    }

    fn handle_request(&mut self, i: usize, request: &Request) {
        for _ in 0..100 {
            let cell = &self.cells[i];
            let borrowed = cell.owner.guest.jobs().map(|(_, r)| r.tasks().len()).sum::<u32>();
            let room = 40u32.saturating_sub(borrowed);
            let machines =
                Machines { running: &cell.running, results: &cell.results, store: &cell.store, room };
            let Some(change) = cell.owner.guest.next_change(request, &machines) else { break };
            let keys = [borrowed_key(&change.job), mark_key(&change.home)];
            if keys.iter().any(|key| cell.owner.is_unresolved(key)) {
                break;
            }
            self.write_change(i, keys, change);
        }
        let from = self.cell_index(&request.from);
        let cell = &self.cells[i];
        let done = |job: &str| cell.store.done(&borrowed_done_key(job));
        let reply = Reply {
            from: cell.name.clone(),
            term: cell.owner.term,
            summary: CellSummary::default(),
            reports: cell.owner.guest.reports(request, done),
        };
        self.post(|| Message::Reply { to: from, from: i, reply: reply.clone() });
    }

    fn write_change(&mut self, i: usize, keys: [String; 2], change: GuestChange) {
        let owner = &mut self.cells[i].owner;
        owner.withheld.insert(change.job.clone(), change.withdrawn.clone());
        let guards = keys.iter().map(|key| owner.guard(key.clone())).collect();
        let mut writes = vec![(keys[0].clone(), change.record.clone().map(Record::Borrowed))];
        if let Some(number) = change.high_water {
            writes.push((keys[1].clone(), Some(Record::HighWater(number))));
        }
        if change.record.is_none() {
            writes.push((borrowed_done_key(&change.job), None));
        }
        let txn = Txn { term: owner.term, guards, writes };
        self.write(i, txn, Some(change));
    }

    fn handle_reply(&mut self, i: usize, from: usize, reply: &Reply) {
        let guest = self.cells[from].name.clone();
        for report in &reply.reports {
            let cell = &self.cells[i];
            let recorded = |job: &str| cell.store.done(&done_key(job));
            let settled = cell.owner.home.settle(&guest, report, recorded);
            let Some(settlement) = settled.expect("all reports are true") else { continue };
            self.cells[i].owner.accepted.insert(report.number);
            let job = settlement.job;
            if !settlement.done.is_empty() {
                self.record_done(i, done_key(&job), &settlement.done);
            }
            if let Some(lending) = settlement.lending {
                if !self.cells[i].owner.is_unresolved(&lending_key(&job)) {
                    self.write_lending(i, &job, lending);
                }
            }
        }
    }

    fn cell_index(&self, name: &str) -> usize {
        self.cells.iter().position(|cell| cell.name == name).expect("a cell")
    }

    /// A user asks for the end of a job.
    fn ask_cancellation(&mut self) {
        let jobs: Vec<String> = self.jobs.keys().cloned().collect();
        let job = &jobs[self.rng.random_range(0..jobs.len())];
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancel_asked = true;
        }
    }

    /// The intent is recorded at once; the end is confirmed once no loan is open.
    fn confirm_cancellations(&mut self, i: usize) {
        for (job, _) in self
            .jobs
            .iter()
            .filter(|(_, j)| j.home == i && j.cancel_asked)
            .map(|(id, j)| (id.clone(), j.tasks))
            .collect::<Vec<_>>()
        {
            let store = &self.cells[i].store;
            let is_over = store.keys.contains_key(&cancelled_key(&job))
                || store.done(&done_key(&job)).len() == self.jobs[&job].tasks;
            if is_over || self.cells[i].owner.is_unresolved(&lending_key(&job)) {
                continue;
            }
            let lending = self.cells[i].owner.home.lending(&job).cloned().unwrap_or_default();
            if !lending.cancelling {
                self.write_lending(i, &job, Lending { cancelling: true, ..lending });
            } else if lending.loans.is_empty() {
                self.confirm(i, &job);
            }
        }
        self.note_confirmed(i);
    }

    fn confirm(&mut self, i: usize, job: &str) {
        let owner = &self.cells[i].owner;
        let guards = vec![owner.guard(lending_key(job)), (cancelled_key(job), 0)];
        let writes = vec![(lending_key(job), None), (cancelled_key(job), Some(Record::Cancelled))];
        let txn = Txn { term: owner.term, guards, writes };
        self.write(i, txn, None);
    }

    /// What the state service says is cancelled may be told to users: nothing of it is held anywhere.
    fn note_confirmed(&mut self, i: usize) {
        let jobs: Vec<String> = self.jobs.keys().filter(|job| self.jobs[*job].home == i).cloned().collect();
        for job in jobs {
            if !self.cells[i].store.keys.contains_key(&cancelled_key(&job)) {
                continue;
            }
            self.cells[i].running.retain(|task| task.0 != job);
            self.cells[i].results.retain(|task| task.0 != job);
            for cell in &self.cells {
                let Some((Record::Borrowed(held), _)) = cell.store.keys.get(&borrowed_key(&job)) else {
                    continue;
                };
                let may_run = |n: &u32| !self.finished.contains_key(&(job.clone(), *n));
                let left: Vec<u32> = held.tasks().iter().filter(may_run).collect();
                assert!(left.is_empty(), "{job} is confirmed as cancelled, {} may run {left:?}", cell.name);
            }
            self.confirmed_cancelled.insert(job);
        }
    }

    fn is_settled(&self, job: &str) -> bool {
        let Job { home, tasks, .. } = self.jobs[job];
        let store = &self.cells[home].store;
        store.done(&done_key(job)).len() == tasks || store.keys.contains_key(&cancelled_key(job))
    }

    /// Ends the troubles and runs until all jobs have ended and no loan is left.
    pub fn settle(&mut self) {
        self.troubles = Troubles::NONE;
        for _ in 0..4_000 {
            self.step();
            let is_idle = |cell: &Cell| {
                cell.owner.guest.jobs().next().is_none()
                    && cell.owner.home.jobs().all(|(_, lending)| lending.loans.is_empty())
            };
            if self.jobs.keys().all(|job| self.is_settled(job)) && self.cells.iter().all(is_idle) {
                return;
            }
        }
        let open: Vec<&String> = self.jobs.keys().filter(|job| !self.is_settled(job)).collect();
        panic!("not settled: {open:?}, or loans that are left");
    }

    /// Each task of a job that was not cancelled has finished exactly once, and the cells' tallies add
    /// up to all of them.
    pub fn assert_tally(&self) {
        let goes_on = |job: &str| !self.confirmed_cancelled.contains(job);
        let wanted: u32 = self.jobs.iter().filter(|(id, _)| goes_on(id)).map(|(_, job)| job.tasks).sum();
        let by_cell =
            |i: usize| self.finished.iter().filter(|(task, at)| goes_on(&task.0) && **at == i).count();
        let tally: Vec<usize> = (0..self.cells.len()).map(by_cell).collect();
        assert_eq!(tally.iter().sum::<usize>(), wanted as usize, "the tally by cell is {tally:?}");
    }

    /// How many tasks finished away from home.
    pub fn finished_abroad(&self) -> usize {
        self.finished.iter().filter(|(task, cell)| self.jobs[&task.0].home != **cell).count()
    }

    /// How many jobs were confirmed as cancelled.
    pub fn cancelled(&self) -> usize {
        self.confirmed_cancelled.len()
    }
}
