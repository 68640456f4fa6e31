//! The lending duty: sends the other cells messages about their open loans, processes their loan reports, and
//! lends them tasks that this cell cannot run in time.

use milletlock_cells::{BacklogThreshold, LendingScript, Loan, LoanAction, LoanReport};

use super::loan_writes::LoanOutcome;
use super::other_cells::CellExchangeError;
use super::progress_keeper::ProgressKeeper;
use super::versions::reads_held_records;
use super::{Controller, Leadership, SharedState};
use crate::config::{CellsSettings, OtherCell};
use crate::fleet::{Fleet, LoanWrite};
use crate::loan_messages::{report_from_proto, request_to_proto, MAX_LOANS};
use crate::peer::{LoanReply, PeerError, PeerMessage, PeerReply, PendingReply};
use crate::time::{wall, Micros};

/// Pause between two rounds of messages to the other cells while there are open loans or loans are to be
/// made.
const ACTIVE_INTERVAL: Micros = Micros::from_millis(400);
/// Pause between two rounds otherwise. The messages then serve to obtain the cells' spare capacity.
const IDLE_INTERVAL: Micros = Micros::from_millis(1_000);
/// How long this controller waits for another cell's answer.
const CELL_TIMEOUT: Micros = Micros::from_millis(900);
/// Backlog of this cell, in seconds, below which it recalls the loans whose tasks it could soon finish
/// itself.
const RECALL_BACKLOG_S: f64 = 0.5;
/// Largest number of open loans with one cell: half of the loans that a message may list.
const MAX_OPEN_LOANS: usize = MAX_LOANS / 2;
/// Largest number of hidden records that a round rewrites in the held form, with two changes each.
const MAX_REWRITES_PER_ROUND: usize = 8;

/// A message that was sent to another cell and whose answer is awaited.
struct CellExchange<'a> {
    cell: &'a OtherCell,
    /// The pending answer, or the error with which sending failed.
    pending_reply: Result<PendingReply, PeerError>,
}

/// Decides whether to lend tasks, and how many.
pub struct LendingPolicy {
    threshold: BacklogThreshold,
    script: Option<LendingScript>,
}

impl LendingPolicy {
    /// The policy that the settings describe. The settings were checked when they were read.
    pub fn new(cells: &CellsSettings) -> LendingPolicy {
        let script = cells.script.as_deref().and_then(|text| LendingScript::parse(text).ok());
        LendingPolicy { threshold: BacklogThreshold::default(), script }
    }
}

impl Controller {
    /// Exchanges messages with the other cells at regular intervals until the controller stops.
    pub(super) fn lend(&self) {
        let Some(cells) = &self.config.operator.cells else { return };
        let mut policy = LendingPolicy::new(cells);
        let mut keeper = ProgressKeeper::default();
        while !self.stopping() {
            let is_active = self.lend_once(&mut policy);
            self.keep_progress_once(&mut keeper);
            self.sleep(if is_active { ACTIVE_INTERVAL } else { IDLE_INTERVAL });
        }
    }

    /// Performs one round of messages with all other cells. Returns whether there are open loans or loans are
    /// to be made.
    pub fn lend_once(&self, policy: &mut LendingPolicy) -> bool {
        let Some(cells) = &self.config.operator.cells else { return false };
        let (fencing_token, backlog_s) = match &self.lock().leadership {
            Some(leadership) => (leadership.term.fencing_token, leadership.fleet.array_backlog_s()),
            None => return false,
        };
        let wants_to_lend = policy.threshold.update(backlog_s, self.config.operator.drain_s);
        self.retry_loan_writes(fencing_token);
        self.rewrite_hidden_records(fencing_token);
        for exchange in self.send_loan_requests(cells, fencing_token, backlog_s) {
            let cell = exchange.cell;
            match exchange.pending_reply.and_then(PendingReply::wait) {
                Ok(PeerReply::Loans(reply)) => self.on_loan_reply(fencing_token, cell, &reply, policy),
                Ok(_) => self.mark_cell_unreachable(cell, &CellExchangeError::WrongAnswer),
                Err(error) => self.mark_cell_unreachable(cell, &error.into()),
            }
        }
        let has_loans = match &self.lock().leadership {
            Some(leadership) => leadership.fleet.loans.lender_ledger.jobs().next().is_some(),
            None => false,
        };
        has_loans || wants_to_lend
    }

    /// Sends each cell a message about its open loans, without waiting for the answers.
    fn send_loan_requests<'a>(
        &self,
        cells: &'a CellsSettings,
        fencing_token: u64,
        backlog_s: f64,
    ) -> Vec<CellExchange<'a>> {
        let mut first_address = self.peers.count();
        let mut exchanges = Vec::new();
        for cell in &cells.others {
            let mut shared = self.lock();
            let controller = shared.other_cells.entry(cell.name.clone()).or_default().count_message();
            let Some(leadership) = shared.leadership_with(fencing_token) else { return exchanges };
            let fleet = &leadership.fleet;
            let action = |job: &str, loan: &Loan| recall_or_run(fleet, job, loan, backlog_s);
            let offer = |job: &str, number| fleet.loans.offer(job, number);
            let mut request =
                fleet.loans.lender_ledger.request(&cells.name, &cell.name, fencing_token, action, offer);
            request.horizon = fleet.horizon_unless_unreadable(request.horizon);
            drop(shared);
            let message = PeerMessage::Lend(request_to_proto(&request));
            let pending_reply = self.peers.send(first_address + controller, message, CELL_TIMEOUT);
            exchanges.push(CellExchange { cell, pending_reply });
            first_address += cell.controllers.len();
        }
        exchanges
    }

    /// Processes a cell's answer.
    fn on_loan_reply(&self, fencing_token: u64, cell: &OtherCell, reply: &LoanReply, policy: &LendingPolicy) {
        if reply.from != cell.name {
            self.mark_cell_unreachable(cell, &CellExchangeError::WrongCell);
            return;
        }
        if !self.update_cell_state(cell, reply) {
            return;
        }
        for report in &reply.reports {
            match report_from_proto(report) {
                Ok(report) => self.on_loan_report(fencing_token, cell, &report),
                Err(error) => tracing::error!(cell = %cell.name, %error, "loan report refused"),
            }
        }
        self.make_loan(fencing_token, cell, policy);
    }

    /// Processes a borrower's report on a loan.
    fn on_loan_report(&self, fencing_token: u64, cell: &OtherCell, report: &LoanReport) {
        let write = {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else { return };
            apply_loan_report(&mut leadership.fleet, cell, report)
        };
        self.wake.notify_all();
        if let Some(write) = write {
            self.settle_loan(fencing_token, cell, write);
        }
    }

    /// Writes the record of the job to which a settled loan belongs.
    fn settle_loan(&self, fencing_token: u64, cell: &OtherCell, write: LoanWrite) {
        let job = write.job().to_string();
        let ends_job = matches!(&write, LoanWrite::Lender { record, .. } if record.lending.is_cancelled());
        if self.write_loan(fencing_token, write) == LoanOutcome::Written {
            tracing::debug!(%job, cell = %cell.name, "loan settled");
            if ends_job {
                tracing::info!(%job, "job cancelled: no open loans");
            }
        }
    }

    /// Lends tasks to a cell if the job arrays of this cell do not drain in time and the other cell has spare
    /// capacity. Loans are made one at a time: a new loan waits until the borrower has decided on the
    /// previous one, so that its spare capacity is known.
    fn make_loan(&self, fencing_token: u64, cell: &OtherCell, policy: &LendingPolicy) {
        if !policy.threshold.is_exceeded() {
            return;
        }
        let Some(write) = self.begin_loan(fencing_token, cell, policy) else { return };
        let job = write.job().to_string();
        if self.write_loan(fencing_token, write) == LoanOutcome::Written {
            tracing::info!(%job, cell = %cell.name, "loan made");
        }
    }

    /// The write of a new loan to a cell; none if no loan is to be made now.
    fn begin_loan(&self, fencing_token: u64, cell: &OtherCell, policy: &LendingPolicy) -> Option<LoanWrite> {
        let mut shared = self.lock();
        let all_controllers_read_held_records = self.all_controllers_read_held_records(&shared);
        let summary = shared.other_cells.get(&cell.name).and_then(|state| state.summary().cloned())?;
        let leadership = shared.leadership_with(fencing_token)?;
        let may_act = leadership.store_contact.may_act(self.now());
        if !all_controllers_read_held_records || !may_act || must_wait_for_borrower(leadership, &cell.name) {
            return None;
        }
        let fleet = &mut leadership.fleet;
        let candidate = fleet.lending_candidate(&summary, wall())?;
        let count = match &policy.script {
            Some(script) => script.task_count(&candidate.inputs),
            None => candidate.inputs.default_task_count(),
        };
        fleet.begin_loan(&candidate, count, &cell.name)
    }

    /// Rewrites hidden records of lent jobs ([`crate::records::LentForm::Hidden`]), as 0.3.0 to 0.3.2 wrote
    /// them, so that they have the held form. Versions before 0.3 can then read the records.
    fn rewrite_hidden_records(&self, fencing_token: u64) {
        for write in self.begin_held_form_rewrites(fencing_token) {
            let job = write.job().to_string();
            if self.write_loan(fencing_token, write) == LoanOutcome::Written {
                tracing::info!(%job, "record of lent job rewritten for versions before 0.3");
            }
        }
    }

    /// The writes of [`Controller::rewrite_hidden_records`]; none if some controller of this cell cannot read
    /// records in the held form.
    fn begin_held_form_rewrites(&self, fencing_token: u64) -> Vec<LoanWrite> {
        let mut shared = self.lock();
        let all_controllers_read_held_records = self.all_controllers_read_held_records(&shared);
        let Some(leadership) = shared.leadership_with(fencing_token) else { return Vec::new() };
        if !all_controllers_read_held_records || !leadership.store_contact.may_act(self.now()) {
            return Vec::new();
        }
        leadership.fleet.begin_held_form_rewrites(MAX_REWRITES_PER_ROUND)
    }

    /// Whether all controllers of this cell read records in the held form.
    fn all_controllers_read_held_records(&self, shared: &SharedState) -> bool {
        self.config.platform.members.iter().all(|member| {
            let version = shared.peer_versions.get(&member.label);
            version.is_some_and(|version| reads_held_records(version))
        })
    }
}

/// Applies a borrower's report on a loan to the fleet. Returns the write that settles the loan, or none if
/// the loan is not to be settled now.
fn apply_loan_report(fleet: &mut Fleet, cell: &OtherCell, report: &LoanReport) -> Option<LoanWrite> {
    let change =
        fleet.loans.lender_ledger.change_for_report(&cell.name, report, |job| fleet.recorded_done(job));
    match change {
        Ok(Some(settlement)) => {
            fleet.loans.mark_decided_by_borrower(report.number);
            fleet.mark_lent_tasks_done(&settlement.job, &settlement.done);
            settlement.lending.and_then(|lending| fleet.settle_loan(&settlement.job, lending))
        }
        Ok(None) => None,
        Err(error) => {
            tracing::error!(cell = %cell.name, %error, "loan report refused");
            None
        }
    }
}

/// Whether no further loan may be made to a cell now: it has not decided on an earlier loan yet, or it has
/// the largest allowed number of open loans.
fn must_wait_for_borrower(leadership: &Leadership, cell: &str) -> bool {
    let loans = &leadership.fleet.loans;
    let open: Vec<_> = loans.lender_ledger.loans_with(cell).collect();
    open.len() >= MAX_OPEN_LOANS || open.iter().any(|(job, loan)| loans.offer(job, loan.number).is_some())
}

/// The action for a loan: it is recalled once this cell's backlog is below [`RECALL_BACKLOG_S`] and this cell
/// could soon finish the loan's tasks itself.
fn recall_or_run(fleet: &Fleet, job: &str, loan: &Loan, backlog_s: f64) -> LoanAction {
    if backlog_s < RECALL_BACKLOG_S && fleet.could_finish_soon(job, &loan.tasks) {
        LoanAction::Recall
    } else {
        LoanAction::Run
    }
}
