//! The borrowing side of loans: what other cells are told of this one's room, what is taken on, and what
//! borrowed jobs are here.

use milletlock_cells::{
    BorrowRefusal, BorrowerChange, CellSummary, Lending, LoanItem, LoanOffer, LocalTasks, TaskSet,
    SUMMARY_FORMAT,
};

use super::*;
use crate::keys::borrowed_done_prefix;
use crate::records::LenderRecord;

/// A cell with more of its own array work waiting than this takes on nothing, in seconds of its machines.
const BUSY_BACKLOG_S: f64 = 1.0;

impl Fleet {
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
            format: SUMMARY_FORMAT,
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

    /// Takes over what is kept of a cell from which tasks are borrowed.
    pub fn inherit_lender(&mut self, cell: &str, record: LenderRecord, mod_revision: u64) {
        self.loans.guest.load_high_water(cell, record.high_water);
        self.loans.lenders.insert(cell.to_string(), (record, mod_revision));
    }

    /// Takes over a borrowed job. What it asks for in its home does not count here: it has the lowest rank
    /// and no aims.
    pub fn borrowed_put(
        &mut self,
        id: &str,
        record: BorrowedJob,
        mod_revision: u64,
        now: Steady,
        wall: Wall,
    ) {
        let home = record.lender.clone();
        let spec = JobSpec::parse(record.description.to_string().as_bytes());
        self.loans.guest.load(id, record);
        self.loans.borrowed.insert(id.to_string(), mod_revision);
        if let Some(job) = self.jobs.get_mut(id) {
            if job.borrowed_from.is_some() {
                job.mod_revision = mod_revision;
            } else {
                tracing::error!(job = id, %home, "a borrowed job has the id of one that was accepted here");
            }
            self.update_withheld(id);
            return;
        }
        let spec = match spec {
            Ok(spec) => spec,
            Err(error) => return tracing::error!(job = id, %home, %error, "a borrowed job cannot be read"),
        };
        let spec = JobSpec { priority: Priority::Idle, class: None, deadline_s: None, ..spec };
        let own = JobRecord { spec, submitted_us: wall.0, high_water_mark: 0, lending: Lending::default() };
        let mut job = Job::new(own, mod_revision, now);
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
        let prefix = borrowed_done_prefix(id);
        let mut taken = Vec::new();
        self.orphans.retain(|key, mod_revision| {
            let chunk = key.strip_prefix(&prefix).and_then(|chunk| chunk.parse().ok());
            taken.extend(chunk.map(|chunk| (chunk, *mod_revision)));
            chunk.is_none()
        });
        taken
    }

    /// A borrowed job is held no more: what is left of it is stopped.
    pub(super) fn borrowed_over(&mut self, id: &str, home: &str) {
        self.loans.guest.remove(home, id);
        if self.loans.guest.job(id).is_some() {
            return;
        }
        self.loans.borrowed.remove(id);
        if self.jobs.get(id).is_some_and(|job| job.borrowed_from.is_some()) {
            self.end_job(id);
        }
    }

    /// Begins a change of what is held here: from now on none of what it withdraws may start.
    pub fn begin_guest_change(&mut self, change: BorrowerChange) -> LoanWrite {
        let id: JobId = change.job.as_str().into();
        let (mut lender, lender_stamp) = self.loans.lender(&change.lender);
        lender.high_water = lender.high_water.max(change.high_water.unwrap_or_default());
        let done = self.recorded_done(&id);
        lender.finished += u64::from(change.withdrawn.intersection(&done).len());
        let is_held = self.loans.guest.job(&id).is_some_and(|record| record.lender == change.lender);
        let job_stamp = self.loans.borrowed.get(&change.job).filter(|_| is_held).copied().unwrap_or(0);
        self.loans.returning_in_flight.insert(id.clone(), change.withdrawn.clone());
        self.update_withheld(&id);
        LoanWrite::Guest { change: Box::new(change), job_stamp, lender, lender_stamp }
    }

    /// A job of this id was accepted here, as a failed write showed: nothing of it is borrowed.
    pub fn note_known_job(&mut self, id: &str) {
        if self.loans.known.len() > loans::MAX_REMEMBERED {
            // What is forgotten shows again with the next failed write.
            self.loans.known.clear();
        }
        self.loans.known.insert(id.to_string());
    }

    /// A borrowed job has no record any more, as read back.
    pub fn borrowed_gone(&mut self, id: &str) {
        let home = self.loans.guest.job(id).map(|record| record.lender.clone());
        home.into_iter().for_each(|home| self.borrowed_over(id, &home));
    }

    /// Stops tasks that are held here no more.
    pub(super) fn stop_withdrawn(&mut self, id: &str, withdrawn: &TaskSet) {
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
pub(super) fn is_array_without_rules(spec: &JobSpec) -> bool {
    spec.is_array() && !spec.one_zone && !spec.spread && spec.zone.is_none()
}

/// The borrowed tasks of a cell, for its guest ledger.
pub struct BorrowedTasks<'a> {
    fleet: &'a Fleet,
    backlog_s: f64,
}

impl BorrowedTasks<'_> {
    fn parse(item: &LoanItem, offer: &LoanOffer) -> Result<JobSpec, BorrowRefusal> {
        let spec = JobSpec::parse(offer.description.to_string().as_bytes())
            .map_err(|e| BorrowRefusal::MalformedDescription(e.to_string()))?;
        if spec.id != item.job || spec.tasks != offer.job_tasks {
            return Err(BorrowRefusal::MalformedDescription("the job differs from its description".into()));
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

    fn admit(&self, item: &LoanItem, offer: &LoanOffer) -> Result<(), BorrowRefusal> {
        let spec = Self::parse(item, offer)?;
        let fleet = self.fleet;
        let is_own = fleet.jobs.get(item.job.as_str()).is_some_and(|job| job.borrowed_from.is_none());
        if is_own || fleet.loans.known.contains(&item.job) || fleet.loans.lent.contains_key(item.job.as_str())
        {
            return Err(BorrowRefusal::JobIdInUse);
        }
        if !is_array_without_rules(&spec) {
            return Err(BorrowRefusal::NotBorrowable);
        }
        let cells = fleet.cfg.operator.cells.as_ref();
        if !cells.is_some_and(|cells| cells.borrows(spec.class.as_ref())) {
            return Err(BorrowRefusal::ClassNotBorrowed(spec.class.unwrap_or_default()));
        }
        if let Some(why) = never_runs(&spec, &fleet.cfg, &fleet.types) {
            return Err(BorrowRefusal::NotRunnable(why));
        }
        let cpus = f64::from(item.tasks.len()) * spec.cpus;
        let loans = fleet.loans.guest.job(&item.job).map(|record| record.loans.as_slice());
        let held = loans.unwrap_or_default().iter().map(|loan| loan.tasks.len());
        let fits = item.tasks.len() <= fleet.tasks_that_fit(&spec, held);
        if !fits || self.backlog_s > BUSY_BACKLOG_S || cpus > fleet.spare_cpus() {
            return Err(BorrowRefusal::NoCapacity(item.tasks.len()));
        }
        Ok(())
    }
}
