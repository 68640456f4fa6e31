//! Messages of a lender to a controller of the cell that borrows from it. The lender is named `there`, the
//! borrower `here`, as in [`super::lending_world`].

use milletlock::loan_messages::{report_from_proto, request_to_proto};
use milletlock::peer::{PeerMessage, PeerReply};
use milletlock_cells::{
    LoanAction, LoanItem, LoanNumber, LoanOffer, LoanReport, LoanState, LoanSyncRequest, TaskSet,
};
use serde_json::json;

use super::lending_scenario::tasks;
use super::lending_world::{Leader, JOB, TASKS};
use super::spec;

/// An offer with the description of the job with this number.
pub fn offer(job: u32) -> LoanOffer {
    LoanOffer { description: json!(spec(job, TASKS, "batch")), job_tasks: TASKS }
}

/// A loan of the job with the id `JOB` in a message of the lender.
pub fn item(number: LoanNumber, lent: &str, action: LoanAction) -> LoanItem {
    LoanItem { number, job: JOB.into(), tasks: tasks(lent), action, offer: Some(offer(1)) }
}

/// Delivers the lender's message about these open loans; loans up to `horizon` that are not listed are closed.
/// Returns the reports in the reply.
pub fn deliver(leader: &Leader<'_>, loans: Vec<LoanItem>, horizon: LoanNumber) -> Vec<LoanReport> {
    let request = LoanSyncRequest { from: "there".into(), to: "here".into(), term: 1, horizon, loans };
    let reply = leader.controller.handle_peer_message(&PeerMessage::Lend(request_to_proto(&request)));
    let PeerReply::Loans(reply) = reply else { panic!("no reports") };
    reply.reports.iter().map(|report| report_from_proto(report).expect("a report")).collect()
}

/// The tasks that a report lists as borrowed; empty if the loan is closed.
pub fn accepted(report: &LoanReport) -> TaskSet {
    match &report.state {
        LoanState::Accepted { tasks, .. } => tasks.clone(),
        LoanState::Closed => TaskSet::new(),
    }
}
