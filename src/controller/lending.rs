//! The lending duty: tells other cells of the loans that they hold, takes what they report, and lends them
//! tasks that this cell does not get to in time.

use std::collections::BTreeMap;

use milletlock_cells::{BacklogThreshold, CellSummary, LendingScript, Loan, LoanAction, LoanReport};

use super::loan_writes::LoanOutcome;
use super::{Controller, Leadership, SharedState};
use crate::config::{CellsSettings, OtherCell};
use crate::fleet::{Fleet, LoanWrite};
use crate::loan_messages::{report_from_proto, request_to_proto, summary_from_proto, MAX_LOANS};
use crate::peer::{LoanReply, PeerError, PeerMessage, PeerReply, PendingReply};
use crate::time::{wall, Micros};

/// How often a cell is told of its loans while it holds some, or some are to be made.
const ACTIVE_INTERVAL: Micros = Micros::from_millis(400);
/// How often it is asked for its room otherwise.
const IDLE_INTERVAL: Micros = Micros::from_millis(1_000);
/// How long another cell has to answer.
const CELL_TIMEOUT: Micros = Micros::from_millis(900);
/// A summary that is older is not acted on, in microseconds.
const MAX_SUMMARY_AGE_US: i64 = 3_000_000;
/// With less own work than this waiting, loans are recalled that this cell can run itself, in seconds.
const RECALL_BACKLOG_S: f64 = 0.5;
/// The first version that knows of loans: major and minor number.
const FIRST_LENDING_VERSION: (u32, u32) = (0, 3);

/// What is known of another cell.
#[derive(Debug, Default)]
pub(super) struct OtherCellState {
    /// Which of its controllers is asked.
    controller: usize,
    /// The highest term of its leader that was seen.
    term: u64,
    /// Its latest summary.
    summary: Option<CellSummary>,
    /// Whether its leader answered the last message.
    answers: bool,
    /// How many messages this controller has sent to it.
    messages: u64,
}

impl OtherCellState {
    /// Its latest summary, if its leader answers.
    pub(super) fn summary(&self) -> Option<&CellSummary> {
        self.summary.as_ref().filter(|_| self.answers)
    }

    /// How many messages this controller has sent to it.
    pub(super) fn messages(&self) -> u64 {
        self.messages
    }

    /// The next controller is asked, or the one that is said to lead.
    fn ask_elsewhere(&mut self, cell: &OtherCell, leader: &str) {
        self.answers = false;
        let leads = cell.controllers.iter().position(|addr| addr.to_string() == leader);
        self.controller = leads.unwrap_or((self.controller + 1) % cell.controllers.len().max(1));
    }
}

/// The choice of how much to lend.
pub struct LendingChoice {
    gate: BacklogThreshold,
    script: Option<LendingScript>,
}

impl LendingChoice {
    /// The choice by the settings, which were checked when they were read.
    pub fn new(cells: &CellsSettings) -> LendingChoice {
        let script = cells.script.as_deref().and_then(|text| LendingScript::parse(text).ok());
        LendingChoice { gate: BacklogThreshold::default(), script }
    }
}

impl Controller {
    /// Lends until the controller ends.
    pub(super) fn lend(&self) {
        let Some(cells) = &self.cfg.operator.cells else { return };
        let mut choice = LendingChoice::new(cells);
        while !self.stopping() {
            let is_active = self.lend_once(&mut choice);
            self.sleep(if is_active { ACTIVE_INTERVAL } else { IDLE_INTERVAL });
        }
    }

    /// One round with all other cells; whether there are loans or some are to be made.
    pub fn lend_once(&self, choice: &mut LendingChoice) -> bool {
        let Some(cells) = &self.cfg.operator.cells else { return false };
        let (fencing_token, backlog_s) = match &self.lock().leadership {
            Some(leadership) => (leadership.claim.fencing_token, leadership.fleet.array_backlog_s()),
            None => return false,
        };
        let wants_to_lend = choice.gate.update(backlog_s, self.cfg.operator.drain_s);
        self.retry_loan_writes(fencing_token);
        for (cell, waiting) in self.ask_cells(cells, fencing_token, backlog_s) {
            match waiting.and_then(PendingReply::wait) {
                Ok(PeerReply::Loans(reply)) => self.on_loan_reply(fencing_token, cell, &reply, choice),
                Ok(_) => self.cell_unreachable(cell, "a wrong answer"),
                Err(e) => self.cell_unreachable(cell, &e.to_string()),
            }
        }
        let has_loans = match &self.lock().leadership {
            Some(leadership) => leadership.fleet.loans.home.jobs().next().is_some(),
            None => false,
        };
        has_loans || wants_to_lend
    }

    /// Tells each cell of its loans.
    fn ask_cells<'a>(
        &self,
        cells: &'a CellsSettings,
        fencing_token: u64,
        backlog_s: f64,
    ) -> Vec<(&'a OtherCell, Result<PendingReply, PeerError>)> {
        let mut first_address = self.peers.count();
        let mut asked = Vec::new();
        for cell in &cells.others {
            let mut shared = self.lock();
            let state = shared.other_cells.entry(cell.name.clone()).or_default();
            state.messages += 1;
            let controller = state.controller;
            let Some(leadership) = shared.leadership_with(fencing_token) else { return asked };
            let fleet = &leadership.fleet;
            let wish = |job: &str, loan: &Loan| recall_or_run(fleet, job, loan, backlog_s);
            let offer = |job: &str, number| fleet.loans.offer(job, number);
            let request = fleet.loans.home.request(&cells.name, &cell.name, fencing_token, wish, offer);
            drop(shared);
            let message = PeerMessage::Lend(request_to_proto(&request));
            let waiting = self.peers.send(first_address + controller, message, CELL_TIMEOUT);
            asked.push((cell, waiting));
            first_address += cell.controllers.len();
        }
        asked
    }

    fn cell_unreachable(&self, cell: &OtherCell, why: &str) {
        let mut shared = self.lock();
        let state = shared.other_cells.entry(cell.name.clone()).or_default();
        if state.answers {
            tracing::info!(cell = %cell.name, why, "cell unreachable");
        }
        state.ask_elsewhere(cell, "");
    }

    /// Takes another cell's answer.
    fn on_loan_reply(&self, fencing_token: u64, cell: &OtherCell, reply: &LoanReply, choice: &LendingChoice) {
        if reply.from != cell.name {
            return self
                .cell_unreachable(cell, "a controller of another name, or without a cells block, answers");
        }
        if !self.note_cell(cell, reply) {
            return;
        }
        for report in &reply.reports {
            match report_from_proto(report) {
                Ok(report) => self.take_loan_report(fencing_token, cell, &report),
                Err(e) => tracing::error!(cell = %cell.name, error = %e, "loan report refused"),
            }
        }
        self.make_loan(fencing_token, cell, choice);
    }

    /// Notes what an answer says of the cell itself; whether its reports count.
    fn note_cell(&self, cell: &OtherCell, reply: &LoanReply) -> bool {
        let mut shared = self.lock();
        let state = shared.other_cells.entry(cell.name.clone()).or_default();
        if !reply.leads {
            state.ask_elsewhere(cell, &reply.leader);
            return false;
        }
        if reply.term < state.term {
            tracing::error!(cell = %cell.name, term = reply.term, known = state.term, "stale cell term refused");
            state.ask_elsewhere(cell, "");
            return false;
        }
        state.term = reply.term;
        if !state.answers {
            tracing::info!(cell = %cell.name, term = reply.term, "cell reachable");
        }
        state.answers = true;
        state.summary = self.checked_summary(cell, reply);
        true
    }

    fn checked_summary(&self, cell: &OtherCell, reply: &LoanReply) -> Option<CellSummary> {
        let summary = summary_from_proto(reply.summary.as_ref()?);
        let skew_us = (self.cfg.platform.settings.skew_ms * 1000.0) as i64;
        match summary.check(wall().0, MAX_SUMMARY_AGE_US, skew_us) {
            Ok(()) => Some(summary),
            Err(e) => {
                tracing::error!(cell = %cell.name, error = %e, "cell summary refused");
                None
            }
        }
    }

    /// Takes a guest's word on a loan.
    fn take_loan_report(&self, fencing_token: u64, cell: &OtherCell, report: &LoanReport) {
        let write = {
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else { return };
            let fleet = &mut leadership.fleet;
            let settled =
                fleet.loans.home.change_for_report(&cell.name, report, |job| fleet.recorded_done(job));
            match settled {
                Ok(Some(settlement)) => {
                    fleet.loans.note_decided_by_guest(report.number);
                    fleet.lent_tasks_done(&settlement.job, &settlement.done);
                    settlement.lending.and_then(|lending| fleet.settle_loan(&settlement.job, lending))
                }
                Ok(None) => None,
                Err(e) => {
                    tracing::error!(cell = %cell.name, error = %e, "loan report refused");
                    None
                }
            }
        };
        self.wake.notify_all();
        if let Some(write) = write {
            self.settle_loan(fencing_token, cell, write);
        }
    }

    fn settle_loan(&self, fencing_token: u64, cell: &OtherCell, write: LoanWrite) {
        let job = write.job().to_string();
        let is_end = matches!(&write, LoanWrite::Home { record, .. } if record.lending.is_cancelled());
        if self.write_loan(fencing_token, write) == LoanOutcome::Written {
            tracing::debug!(%job, cell = %cell.name, "loan settled");
            if is_end {
                tracing::info!(%job, "job cancelled: no open loans");
            }
        }
    }

    /// Lends tasks to a cell if this one's arrays do not drain and that one has room. One loan at a time:
    /// the next waits until the guest has decided, so that its room is known again.
    fn make_loan(&self, fencing_token: u64, cell: &OtherCell, choice: &LendingChoice) {
        if !choice.gate.is_exceeded() {
            return;
        }
        let write = {
            let mut shared = self.lock();
            let knows_loans = self.all_know_loans(&shared);
            let summary = shared.other_cells.get(&cell.name).and_then(|state| state.summary().cloned());
            let (Some(summary), Some(leadership)) = (summary, shared.leadership_with(fencing_token)) else {
                return;
            };
            if !knows_loans || !leadership.view.may_act(self.now()) || has_undecided(leadership, &cell.name) {
                return;
            }
            let fleet = &mut leadership.fleet;
            let Some(candidate) = fleet.lending_candidate(&summary, wall()) else { return };
            let count = match &choice.script {
                Some(script) => script.task_count(&candidate.view),
                None => candidate.view.default_task_count(),
            };
            fleet.begin_loan(&candidate, count, &cell.name)
        };
        let Some(write) = write else { return };
        let job = write.job().to_string();
        if self.write_loan(fencing_token, write) == LoanOutcome::Written {
            tracing::info!(%job, cell = %cell.name, "loan made");
        }
    }

    /// Whether all controllers of this cell know of loans: an older one would take lent tasks for its own.
    fn all_know_loans(&self, shared: &SharedState) -> bool {
        let versions: &BTreeMap<String, String> = &shared.peer_versions;
        self.cfg.platform.members.iter().all(|member| {
            versions
                .get(&member.label)
                .and_then(|v| parse_version(v))
                .is_some_and(|v| v >= FIRST_LENDING_VERSION)
        })
    }
}

/// Major and minor number of a version.
fn parse_version(version: &str) -> Option<(u32, u32)> {
    let mut numbers = version.split('.').map(str::parse);
    Some((numbers.next()?.ok()?, numbers.next()?.ok()?))
}

/// Whether a guest has not decided on a loan yet, or holds as many as one message names.
fn has_undecided(leadership: &Leadership, cell: &str) -> bool {
    let loans = &leadership.fleet.loans;
    let open: Vec<_> = loans.home.loans_with(cell).collect();
    open.len() >= MAX_LOANS / 2 || open.iter().any(|(job, loan)| loans.offer(job, loan.number).is_some())
}

/// A loan is recalled once this cell has nothing else to do and gets to the loan's tasks soon.
fn recall_or_run(fleet: &Fleet, job: &str, loan: &Loan, backlog_s: f64) -> LoanAction {
    if backlog_s < RECALL_BACKLOG_S && fleet.could_run_soon(job, &loan.tasks) {
        LoanAction::Recall
    } else {
        LoanAction::Run
    }
}
