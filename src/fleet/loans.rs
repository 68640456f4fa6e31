//! Array tasks that are lent to other cells or borrowed from them: the ledgers, and what they mean for the
//! jobs here.

use milletlock_cells::{
    CellSummary, GuestChange, GuestLedger, HomeLedger, Lending, LendingView, Loan, LoanItem, LoanNumber,
    LocalTasks, Offer, Refusal, TaskSet, MAX_PORTION, SUMMARY_FORM,
};

use super::*;
use crate::jobs::{borrowed_done_key, LenderRecord};

/// A cell with more of its own array work waiting than this takes on nothing, in seconds of its machines.
const BUSY_BACKLOG_S: f64 = 1.0;
/// Tasks are recalled only if they take no more than this part of the drain time: with more they would be
/// lent again at once.
const RECALLED_SHARE: f64 = 0.5;
/// Bytes of a record that are left free.
const RECORD_SLACK: usize = 128;

/// A change of the records of loans, on its way to the state service.
#[derive(Clone, Debug)]
pub enum LoanWrite {
    /// What a job's record at its home says of loans.
    Home {
        /// The job.
        job: JobId,
        /// Its record from now on.
        record: Box<JobRecord>,
        /// The version that it replaces.
        stamp: u64,
        /// The loan that is made by it, if one is.
        made: Option<LoanNumber>,
    },
    /// What is kept of a borrowed job and of the cell it comes from.
    Guest {
        /// The change of the ledger.
        change: Box<GuestChange>,
        /// The version of the job's record that it replaces; 0: this cell has none from that home.
        job_stamp: u64,
        /// What is kept of the cell from now on.
        lender: LenderRecord,
        /// The version of what was kept of it.
        lender_stamp: u64,
    },
}

impl LoanWrite {
    /// The job that it is about.
    pub fn job(&self) -> &str {
        match self {
            LoanWrite::Home { job, .. } => job,
            LoanWrite::Guest { change, .. } => &change.job,
        }
    }
}

/// Tasks of a job that could be lent.
#[derive(Clone, Debug)]
pub struct LendingCandidate {
    /// The job.
    pub job: JobId,
    /// Its tasks that have not begun.
    pub tasks: TaskSet,
    /// What the choice rests on.
    pub view: LendingView,
}

/// A record of a job of which something is lent, with its version.
#[derive(Debug)]
struct LentJob {
    record: JobRecord,
    stamp: u64,
}

/// Loans made and held, as recorded.
#[derive(Debug)]
pub struct Loans {
    /// Loans that this cell has made.
    pub home: HomeLedger,
    /// Loans that it holds.
    pub guest: GuestLedger,
    lent: BTreeMap<JobId, LentJob>,
    lenders: BTreeMap<String, (LenderRecord, u64)>,
    /// Versions of the records of borrowed jobs.
    borrowed: BTreeMap<String, u64>,
    /// Tasks of own jobs that are withheld for a write in flight, by job.
    lending_in_flight: BTreeMap<JobId, TaskSet>,
    /// Tasks of borrowed jobs that are withheld for a write in flight, by job.
    returning_in_flight: BTreeMap<JobId, TaskSet>,
    /// Writes without an answer, which are sent again until they have one.
    unresolved: Vec<LoanWrite>,
    /// Loans that their guests have said they hold.
    accepted: BTreeSet<LoanNumber>,
    /// Jobs that are known here from elsewhere, as a failed write showed.
    known: BTreeSet<String>,
}

impl Loans {
    pub(super) fn new(token: u64) -> Loans {
        Loans {
            home: HomeLedger::new(token),
            guest: GuestLedger::default(),
            lent: BTreeMap::new(),
            lenders: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lending_in_flight: BTreeMap::new(),
            returning_in_flight: BTreeMap::new(),
            unresolved: Vec::new(),
            accepted: BTreeSet::new(),
            known: BTreeSet::new(),
        }
    }

    /// Whether a write about an own job has no answer yet.
    pub fn is_lending(&self, job: &str) -> bool {
        self.lending_in_flight.contains_key(job)
    }

    /// Whether a write about a borrowed job has no answer yet.
    pub fn is_returning(&self, job: &str) -> bool {
        self.returning_in_flight.contains_key(job)
    }

    fn in_flight(&mut self, write: &LoanWrite) -> &mut BTreeMap<JobId, TaskSet> {
        match write {
            LoanWrite::Home { .. } => &mut self.lending_in_flight,
            LoanWrite::Guest { .. } => &mut self.returning_in_flight,
        }
    }

    /// Takes the writes that have no answer, to be sent again.
    pub fn take_unresolved(&mut self) -> Vec<LoanWrite> {
        std::mem::take(&mut self.unresolved)
    }

    /// A guest holds a loan or has closed it: the job need not be described to it any more.
    pub fn note_decided_by_guest(&mut self, number: LoanNumber) {
        self.accepted.insert(number);
    }

    /// The job to be described to a guest with a loan, unless the guest has decided on that.
    pub fn offer(&self, job: &str, number: LoanNumber) -> Option<Offer> {
        if self.accepted.contains(&number) {
            return None;
        }
        let spec = &self.lent.get(job)?.record.spec;
        let description = serde_json::to_value(spec).ok()?;
        Some(Offer { description, job_tasks: spec.tasks })
    }

    /// What is kept of the cells from which tasks are borrowed.
    pub fn lenders(&self) -> impl Iterator<Item = (&String, &LenderRecord)> {
        self.lenders.iter().map(|(cell, (record, _))| (cell, record))
    }

    fn lender(&self, cell: &str) -> (LenderRecord, u64) {
        self.lenders.get(cell).copied().unwrap_or_default()
    }
}

impl Fleet {
    /// Takes what a job's record says of loans. Of a job that is being cancelled nothing may run.
    pub(super) fn apply_lending(&mut self, record: &JobRecord, stamp: u64) {
        let id: JobId = record.spec.id.as_str().into();
        if record.lending.is_empty() && self.loans.home.lending(&id).is_none() {
            return;
        }
        self.loans.home.load(&id, record.lending.clone());
        if record.lending.is_empty() {
            self.loans.lent.remove(&id);
        } else {
            self.loans.lent.insert(id.clone(), LentJob { record: record.clone(), stamp });
        }
        self.update_withheld(&id);
    }

    /// A job's record is gone, and its loans with it.
    pub(super) fn end_lending(&mut self, id: &str) {
        self.loans.home.remove(id);
        self.loans.lent.remove(id);
    }

    /// Withholds from starting what is lent or, of a borrowed job, not held here, and what a write in
    /// flight lends or gives back.
    fn update_withheld(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (recorded, in_flight) = match job.borrowed_from {
            Some(_) => {
                let held = self.loans.guest.job(id).map(|record| record.tasks()).unwrap_or_default();
                let not_held = TaskSet::span(0, job.spec.tasks).difference(&held);
                (not_held, &self.loans.returning_in_flight)
            }
            None => {
                let lent = self.loans.home.lending(id).map(Lending::tasks).unwrap_or_default();
                (lent, &self.loans.lending_in_flight)
            }
        };
        let in_flight = in_flight.get(id).cloned().unwrap_or_default();
        job.withhold(recorded.union(&in_flight).iter().collect());
        self.dirty = true;
    }

    /// Tasks of a job that are recorded as done.
    pub fn recorded_done(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done_written.task_set()).unwrap_or_default()
    }

    /// Tasks of a job that are done, recorded yet or not.
    pub fn done_tasks(&self, id: &str) -> TaskSet {
        self.jobs.get(id).map(|job| job.done.task_set()).unwrap_or_default()
    }

    /// Tasks of a lent job that are done elsewhere.
    pub fn lent_tasks_done(&mut self, id: &str, tasks: &TaskSet) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.borrowed_from.is_none()) else { return };
        for task in tasks.iter().filter(|task| *task < job.spec.tasks) {
            job.done.insert(task);
            job.waiting.remove(task);
        }
        self.dirty = true;
    }

    /// Seconds for which this cell's own waiting arrays keep its machines busy, and whether anything
    /// waits at all. Without a machine there is nothing to measure by: a processor is taken for it.
    pub fn array_backlog_s(&self) -> f64 {
        let own_arrays = self
            .jobs
            .values()
            .filter(|job| !job.cancelled && job.borrowed_from.is_none() && job.spec.shape == Shape::Array);
        let work = |job: &Job| f64::from(job.waiting.len()) * job.spec.cpus * job.spec.estimate_s;
        own_arrays.map(work).sum::<f64>() / self.array_cpus().max(1.0)
    }

    /// Whether this cell would get through such tasks of a job well within the drain time.
    pub fn could_run_soon(&self, id: &str, tasks: &TaskSet) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let left = tasks.difference(&job.done.task_set()).len();
        let work_s = f64::from(left) * job.spec.cpus * job.spec.estimate_s;
        left > 0 && work_s / self.array_cpus().max(1.0) <= self.cfg.operator.drain_s * RECALLED_SHARE
    }

    /// Processors of the machines that arrays can run on.
    fn array_cpus(&self) -> f64 {
        let machines = self.machines.values().filter(|m| m.up && !m.leaving && !m.expired);
        machines.filter_map(|m| m.ty).map(|ty| self.total(ty).cpus).sum()
    }

    /// What other cells are told of this one's room.
    pub fn cell_summary(&self, wall: Wall) -> CellSummary {
        let backlog_s = self.array_backlog_s();
        let mut free_cpus: BTreeMap<String, f64> =
            self.types.iter().map(|ty| (ty.name.clone(), 0.0)).collect();
        for machine in self.machines.values().filter(|m| m.up && !m.leaving && !m.expired) {
            let Some(ty) = machine.ty else { continue };
            let free = machine.free(self.total(ty)).cpus.max(0.0);
            *free_cpus.entry(machine.ty_name.clone()).or_default() += free;
        }
        CellSummary {
            form: SUMMARY_FORM,
            composed_us: wall.0,
            free_cpus,
            spare_cpus: if backlog_s > BUSY_BACKLOG_S { 0.0 } else { self.spare_cpus() },
            backlog_s,
        }
    }

    /// Processors' worth of tasks that may still be borrowed.
    fn spare_cpus(&self) -> f64 {
        let Some(cells) = &self.cfg.operator.cells else { return 0.0 };
        let held_cpus = |(id, record): (&String, &milletlock_cells::BorrowedJob)| {
            let Some(job) = self.jobs.get(id.as_str()) else { return 0.0 };
            f64::from(record.tasks().difference(&job.done.task_set()).len()) * job.spec.cpus
        };
        let held: f64 = self.loans.guest.jobs().map(held_cpus).sum();
        (cells.borrow_cpus - held).max(0.0)
    }

    /// The job to lend from to a guest with this summary: the youngest that waits long enough, since the
    /// older ones are served first here. Only tasks above its mark: those have never been started.
    pub fn lending_candidate(&self, guest: &CellSummary, now: Wall) -> Option<LendingCandidate> {
        let cells = self.cfg.operator.cells.as_ref()?;
        let backlog_s = self.array_backlog_s();
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| self.is_lendable(job, guest)).collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted));
        jobs.into_iter().find_map(|job| {
            let waited_s = (now - job.submitted).secs();
            let begun = job.high.max(job.high_wanted);
            let tasks: TaskSet = job.waiting.iter().filter(|task| *task >= begun).collect();
            let view = LendingView {
                backlog_s,
                drain_s: self.cfg.operator.drain_s,
                lendable: tasks.len(),
                task_cpus: job.spec.cpus,
                task_s: job.spec.estimate_s,
                waited_s,
                guest_spare_cpus: guest.spare_cpus,
                guest_backlog_s: guest.backlog_s,
            };
            let is_due = waited_s >= cells.lend_after_s && !tasks.is_empty();
            is_due.then(|| LendingCandidate { job: job.id.clone(), tasks, view })
        })
    }

    /// Whether tasks of a job may be lent to a guest at all: only those of arrays without a rule over all
    /// their tasks, and never what is borrowed itself.
    fn is_lendable(&self, job: &Job, guest: &CellSummary) -> bool {
        let spec = &job.spec;
        let lends = self.cfg.operator.cells.as_ref().is_some_and(|cells| cells.lends(spec.class.as_ref()));
        let has_type =
            spec.types.as_ref().is_none_or(|types| types.iter().any(|ty| guest.free_cpus.contains_key(ty)));
        lends
            && has_type
            && !job.cancelled
            && job.borrowed_from.is_none()
            && is_array_without_rules(spec)
            && !self.loans.is_lending(&job.id)
    }

    /// Begins to lend the last `count` of a candidate's tasks: from now on none of them may start here.
    pub fn begin_loan(&mut self, candidate: &LendingCandidate, count: u32, guest: &str) -> Option<LoanWrite> {
        let skipped = candidate.tasks.len().saturating_sub(count.min(MAX_PORTION)) as usize;
        let tasks: TaskSet = candidate.tasks.iter().skip(skipped).collect();
        if tasks.is_empty() {
            return None;
        }
        let number = self.loans.home.next_number()?;
        let loan = Loan { number, guest: guest.to_string(), tasks: tasks.clone() };
        let lending = self.loans.home.with_loan(&candidate.job, loan);
        let write = self.home_write(&candidate.job, lending, Some(number));
        if write.is_none() {
            self.loans.home.decided(number);
            return None;
        }
        self.loans.lending_in_flight.insert(candidate.job.clone(), tasks);
        self.update_withheld(&candidate.job);
        write
    }

    /// The write of what a job's record says of loans from now on; none while another is in flight or if
    /// it does not fit a value.
    fn home_write(&self, job: &str, lending: Lending, made: Option<LoanNumber>) -> Option<LoanWrite> {
        if self.loans.is_lending(job) {
            return None;
        }
        let (mut record, stamp) = match (self.loans.lent.get(job), self.jobs.get(job)) {
            (Some(lent), _) => (lent.record.clone(), lent.stamp),
            (None, Some(job)) => {
                let spec = job.spec.clone();
                let submitted_us = job.submitted.0;
                (JobRecord { spec, submitted_us, high: 0, lending: Lending::default() }, job.stamp)
            }
            (None, None) => return None,
        };
        record.lending = lending;
        let bytes = serde_json::to_string(&record).map_or(usize::MAX, |text| text.len());
        let fits = bytes + RECORD_SLACK <= self.value_limit;
        (fits || made.is_none()).then(|| LoanWrite::Home {
            job: job.into(),
            record: Box::new(record),
            stamp,
            made,
        })
    }

    /// The write by which a settlement with a guest takes effect.
    pub fn settle_loan(&mut self, job: &str, lending: Lending) -> Option<LoanWrite> {
        let write = self.home_write(job, lending, None)?;
        self.loans.lending_in_flight.insert(job.into(), TaskSet::new());
        Some(write)
    }

    /// Takes over what is kept of a cell from which tasks are borrowed.
    pub fn inherit_lender(&mut self, cell: &str, record: LenderRecord, stamp: u64) {
        self.loans.guest.load_high_water(cell, record.high_water);
        self.loans.lenders.insert(cell.to_string(), (record, stamp));
    }

    /// Takes over a borrowed job. What it asks for in its home does not count here: it has the lowest rank
    /// and no aims.
    pub fn borrowed_put(&mut self, id: &str, record: BorrowedJob, stamp: u64, now: Steady, wall: Wall) {
        let home = record.home.clone();
        let spec = JobSpec::parse(record.description.to_string().as_bytes());
        self.loans.guest.load(id, record);
        self.loans.borrowed.insert(id.to_string(), stamp);
        if let Some(job) = self.jobs.get_mut(id) {
            if job.borrowed_from.is_some() {
                job.stamp = stamp;
            } else {
                tracing::error!(job = id, %home, "a borrowed job has the id of one that was accepted here");
            }
            self.update_withheld(id);
            return;
        }
        let spec = match spec {
            Ok(spec) => spec,
            Err(why) => return tracing::error!(job = id, %home, why, "a borrowed job cannot be read"),
        };
        let spec = JobSpec { rank: Rank::Idle, class: None, deadline_s: None, ..spec };
        let own = JobRecord { spec, submitted_us: wall.0, high: 0, lending: Lending::default() };
        let mut job = Job::new(own, stamp, now);
        job.borrowed_from = Some(home);
        let need = need_of(&job.spec);
        let id = job.id.clone();
        let left = self.take_orphans_of(&id);
        job.chunks.extend(left);
        for m in self.machines.values_mut() {
            for (_, e) in m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX)) {
                e.need = Some(need);
            }
        }
        self.jobs.insert(id.clone(), job);
        self.update_withheld(&id);
        for (task, at) in self.located(&id) {
            self.refresh(&id, task, &at);
        }
    }

    /// Chunks of done ranges that an earlier loan of the job left and that are about to be removed.
    fn take_orphans_of(&mut self, id: &JobId) -> Vec<(u32, u64)> {
        let prefix = borrowed_done_key(id, 0);
        let prefix = prefix.trim_end_matches('0').to_string();
        let mut taken = Vec::new();
        self.orphans.retain(|key, stamp| {
            let chunk = key.strip_prefix(&prefix).and_then(|chunk| chunk.parse().ok());
            taken.extend(chunk.map(|chunk| (chunk, *stamp)));
            chunk.is_none()
        });
        taken
    }

    /// A borrowed job is held no more: what is left of it is stopped.
    fn borrowed_over(&mut self, id: &str, home: &str) {
        self.loans.guest.apply(&GuestChange {
            home: home.to_string(),
            job: id.to_string(),
            record: None,
            high_water: None,
            withdrawn: TaskSet::new(),
            refusal: None,
        });
        if self.loans.guest.job(id).is_some() {
            return;
        }
        self.loans.borrowed.remove(id);
        if self.jobs.get(id).is_some_and(|job| job.borrowed_from.is_some()) {
            self.end_job(id);
        }
    }

    /// Begins a change of what is held here: from now on none of what it withdraws may start.
    pub fn begin_guest_change(&mut self, change: GuestChange) -> LoanWrite {
        let id: JobId = change.job.as_str().into();
        let (mut lender, lender_stamp) = self.loans.lender(&change.home);
        lender.high_water = lender.high_water.max(change.high_water.unwrap_or_default());
        let done = self.recorded_done(&id);
        lender.finished += u64::from(change.withdrawn.intersection(&done).len());
        let is_held = self.loans.guest.job(&id).is_some_and(|record| record.home == change.home);
        let job_stamp = self.loans.borrowed.get(&change.job).filter(|_| is_held).copied().unwrap_or(0);
        self.loans.returning_in_flight.insert(id.clone(), change.withdrawn.clone());
        self.update_withheld(&id);
        LoanWrite::Guest { change: Box::new(change), job_stamp, lender, lender_stamp }
    }

    /// A write of loans was applied.
    pub fn loan_written(&mut self, write: &LoanWrite, revision: u64, now: Steady, wall: Wall) {
        self.loans.in_flight(write).remove(write.job());
        match write {
            LoanWrite::Home { job, record, made, .. } => {
                if let Some(number) = made {
                    self.loans.home.decided(*number);
                }
                if record.lending.cancelling && record.lending.loans.is_empty() {
                    self.end_lending(job);
                    self.job_over(job, revision);
                } else {
                    self.job_put((**record).clone(), revision, now);
                }
            }
            LoanWrite::Guest { change, lender, .. } => {
                self.inherit_lender(&change.home, *lender, revision);
                match &change.record {
                    Some(record) => {
                        self.borrowed_put(&change.job, record.clone(), revision, now, wall);
                        self.stop_withdrawn(&change.job, &change.withdrawn);
                    }
                    None => self.borrowed_over(&change.job, &change.home),
                }
            }
        }
        self.update_withheld(write.job());
    }

    /// A write of loans was not applied and never will be.
    pub fn loan_not_written(&mut self, write: &LoanWrite) {
        self.loans.in_flight(write).remove(write.job());
        if let LoanWrite::Home { made: Some(number), .. } = write {
            self.loans.home.decided(*number);
        }
        self.update_withheld(write.job());
    }

    /// Whether a write of loans was applied is not known: it stays in flight and is sent again.
    pub fn loan_unresolved(&mut self, write: LoanWrite) {
        self.loans.unresolved.push(write);
    }

    /// A job of this id was accepted here, as a failed write showed: nothing of it is borrowed.
    pub fn note_known_job(&mut self, id: &str) {
        self.loans.known.insert(id.to_string());
    }

    /// A borrowed job has no record any more, as read back.
    pub fn borrowed_gone(&mut self, id: &str) {
        let home = self.loans.guest.job(id).map(|record| record.home.clone());
        home.into_iter().for_each(|home| self.borrowed_over(id, &home));
    }

    /// Whether this cell lends or borrows.
    pub fn uses_cells(&self) -> bool {
        self.cfg.operator.cells.is_some()
    }

    /// Stops tasks that are held here no more.
    fn stop_withdrawn(&mut self, id: &str, withdrawn: &TaskSet) {
        let id: JobId = id.into();
        for m in self.machines.values_mut() {
            let of_job = m.tasks.range_mut((id.clone(), 0, 0)..=(id.clone(), u32::MAX, u64::MAX));
            for (_, e) in of_job.filter(|(key, e)| e.live() && withdrawn.contains(key.1)) {
                e.stop = Some(0.0);
            }
        }
    }

    /// The loans as another cell's message sees them.
    pub fn local_tasks(&self) -> BorrowedTasks<'_> {
        BorrowedTasks { fleet: self, backlog_s: self.array_backlog_s() }
    }
}

/// Whether a job is an array whose tasks may run anywhere, each by itself.
fn is_array_without_rules(spec: &JobSpec) -> bool {
    spec.shape == Shape::Array && !spec.one_zone && !spec.spread && spec.zone.is_none()
}

/// The borrowed tasks of a cell, for its guest ledger.
pub struct BorrowedTasks<'a> {
    fleet: &'a Fleet,
    backlog_s: f64,
}

impl BorrowedTasks<'_> {
    fn parse(item: &LoanItem, offer: &Offer) -> Result<JobSpec, Refusal> {
        let spec = JobSpec::parse(offer.description.to_string().as_bytes()).map_err(Refusal::Malformed)?;
        if spec.id != item.job || spec.tasks != offer.job_tasks {
            return Err(Refusal::Malformed("the job differs from its description".into()));
        }
        Ok(spec)
    }
}

impl LocalTasks for BorrowedTasks<'_> {
    /// A waiting task may have been started by an earlier owner and stopped since, unless it is above the
    /// mark that this owner found: that one counts as begun.
    fn unstarted(&self, job: &str, tasks: &TaskSet) -> TaskSet {
        let Some(job) = self.fleet.jobs.get(job).filter(|job| job.borrowed_from.is_some()) else {
            return TaskSet::new();
        };
        let has_not_begun =
            |task: &u32| *task >= job.inherited && job.waiting.contains(*task) && !job.begun.contains(*task);
        tasks.iter().filter(has_not_begun).collect()
    }

    fn admit(&self, item: &LoanItem, offer: &Offer) -> Result<(), Refusal> {
        let spec = Self::parse(item, offer)?;
        let fleet = self.fleet;
        let is_own = fleet.jobs.get(item.job.as_str()).is_some_and(|job| job.borrowed_from.is_none());
        if is_own || fleet.loans.known.contains(&item.job) || fleet.loans.lent.contains_key(item.job.as_str())
        {
            return Err(Refusal::KnownJob);
        }
        if !is_array_without_rules(&spec) {
            return Err(Refusal::NotBorrowable);
        }
        let cells = fleet.cfg.operator.cells.as_ref();
        if !cells.is_some_and(|cells| cells.borrows(spec.class.as_ref())) {
            return Err(Refusal::Class(spec.class.unwrap_or_default()));
        }
        if let Some(why) = never_runs(&spec, &fleet.cfg, &fleet.types) {
            return Err(Refusal::NeverRuns(why));
        }
        let cpus = f64::from(item.tasks.len()) * spec.cpus;
        if self.backlog_s > BUSY_BACKLOG_S || cpus > fleet.spare_cpus() {
            return Err(Refusal::NoRoom(item.tasks.len()));
        }
        Ok(())
    }
}
