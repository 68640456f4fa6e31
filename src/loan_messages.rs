//! Conversion of the messages between cells to and from their protobuf form. Received messages are checked
//! for the number of loans, job ids, sets of tasks and enum values.

use milletlock_cells::{
    CellSummary, LoanAction, LoanItem, LoanNumber, LoanOffer, LoanReport, LoanState, LoanSyncRequest,
    TaskSet, TaskSetError,
};

use crate::peer::proto;
use crate::wire::is_job_id;

/// The maximum number of loans in a message.
pub const MAX_LOANS: usize = 256;

/// The maximum number of characters of an invalid job id that are quoted in an error.
const MAX_QUOTED_CHARS: usize = 40;

/// The reasons for which a message about loans is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoanMessageError {
    /// The message is addressed to another cell.
    #[error("the message is for cell {to}, but this cell is {own}")]
    Misaddressed {
        /// Name of the cell to which the message is addressed.
        to: String,
        /// Name of this cell.
        own: String,
    },
    /// The sender is not among the other cells in the operator's settings. The value is its name.
    #[error("the settings contain no other cell with the name {0}")]
    UnknownCell(String),
    /// The message lists more than [`MAX_LOANS`] loans. The value is their number.
    #[error("the message lists {0} loans, at most {MAX_LOANS} are allowed")]
    TooManyLoans(usize),
    /// A job id is malformed. The value is its beginning.
    #[error("`{0}` is not a valid job id")]
    InvalidJobId(String),
    /// A set of tasks cannot be read.
    #[error("loan {loan}: {source}")]
    InvalidTasks {
        /// The loan's number.
        loan: u64,
        /// The reason for which the set cannot be read.
        source: TaskSetError,
    },
    /// The action for a loan is unknown to this version.
    #[error("loan {loan}: unknown action {value}")]
    UnknownAction {
        /// The loan's number.
        loan: u64,
        /// The value of the protobuf enum `LoanWish`.
        value: i32,
    },
    /// A job description is not valid JSON.
    #[error("loan {loan}: the job description is not valid JSON")]
    MalformedDescription {
        /// The loan's number.
        loan: u64,
    },
}

/// Converts a request for sending. The message lists the first [`MAX_LOANS`] loans. If loans are omitted,
/// the horizon is set below them; otherwise the borrower would treat them as closed.
pub fn request_to_proto(request: &LoanSyncRequest) -> proto::LoanRequest {
    let first_omitted = request.loans.get(MAX_LOANS);
    let horizon = match first_omitted {
        Some(loan) => request.horizon.min(loan.number.previous()),
        None => request.horizon,
    };
    proto::LoanRequest {
        from: request.from.clone(),
        to: request.to.clone(),
        term: request.term,
        horizon: horizon.0,
        loans: request.loans.iter().take(MAX_LOANS).map(item_to_proto).collect(),
    }
}

fn item_to_proto(item: &LoanItem) -> proto::LoanItem {
    let offer = item.offer.as_ref().map(|offer| proto::LoanOffer {
        description: offer.description.to_string().into_bytes(),
        job_tasks: offer.job_tasks,
    });
    proto::LoanItem {
        number: item.number.0,
        job: item.job.clone(),
        tasks: item.tasks.to_bytes(),
        wish: action_to_proto(item.action) as i32,
        offer,
    }
}

fn action_to_proto(action: LoanAction) -> proto::LoanWish {
    match action {
        LoanAction::Run => proto::LoanWish::Run,
        LoanAction::Recall => proto::LoanWish::Recall,
        LoanAction::Cancel => proto::LoanWish::Cancel,
    }
}

/// Converts a received request.
///
/// # Errors
/// If the request has too many loans, or a loan in it is malformed.
pub fn request_from_proto(request: &proto::LoanRequest) -> Result<LoanSyncRequest, LoanMessageError> {
    if request.loans.len() > MAX_LOANS {
        return Err(LoanMessageError::TooManyLoans(request.loans.len()));
    }
    Ok(LoanSyncRequest {
        from: request.from.clone(),
        to: request.to.clone(),
        term: request.term,
        horizon: LoanNumber(request.horizon),
        loans: request.loans.iter().map(item_from_proto).collect::<Result<_, _>>()?,
    })
}

fn item_from_proto(item: &proto::LoanItem) -> Result<LoanItem, LoanMessageError> {
    if !is_job_id(&item.job) {
        let quoted = item.job.chars().take(MAX_QUOTED_CHARS).collect();
        return Err(LoanMessageError::InvalidJobId(quoted));
    }
    let action = action_from_proto(item)?;
    let offer = item.offer.as_ref().map(|offer| offer_from_proto(item.number, offer)).transpose()?;
    Ok(LoanItem {
        number: LoanNumber(item.number),
        job: item.job.clone(),
        tasks: tasks_from_bytes(item.number, &item.tasks)?,
        action,
        offer,
    })
}

fn action_from_proto(item: &proto::LoanItem) -> Result<LoanAction, LoanMessageError> {
    match proto::LoanWish::try_from(item.wish) {
        Ok(proto::LoanWish::Run) => Ok(LoanAction::Run),
        Ok(proto::LoanWish::Recall) => Ok(LoanAction::Recall),
        Ok(proto::LoanWish::Cancel) => Ok(LoanAction::Cancel),
        Err(_) => Err(LoanMessageError::UnknownAction { loan: item.number, value: item.wish }),
    }
}

fn offer_from_proto(loan: u64, offer: &proto::LoanOffer) -> Result<LoanOffer, LoanMessageError> {
    let description = serde_json::from_slice(&offer.description)
        .map_err(|_| LoanMessageError::MalformedDescription { loan })?;
    Ok(LoanOffer { description, job_tasks: offer.job_tasks })
}

fn tasks_from_bytes(loan: u64, bytes: &[u8]) -> Result<TaskSet, LoanMessageError> {
    TaskSet::from_bytes(bytes).map_err(|source| LoanMessageError::InvalidTasks { loan, source })
}

/// Converts a report on a loan for sending.
pub fn report_to_proto(report: &LoanReport) -> proto::LoanReport {
    let number = report.number.0;
    match &report.state {
        LoanState::Accepted { tasks, done } => {
            proto::LoanReport { number, closed: false, tasks: tasks.to_bytes(), done: done.to_bytes() }
        }
        LoanState::Closed => proto::LoanReport { number, closed: true, ..proto::LoanReport::default() },
    }
}

/// Converts a received report on a loan.
///
/// # Errors
/// If a set of tasks is malformed.
pub fn report_from_proto(report: &proto::LoanReport) -> Result<LoanReport, LoanMessageError> {
    let state = if report.closed {
        LoanState::Closed
    } else {
        LoanState::Accepted {
            tasks: tasks_from_bytes(report.number, &report.tasks)?,
            done: tasks_from_bytes(report.number, &report.done)?,
        }
    };
    Ok(LoanReport { number: LoanNumber(report.number), state })
}

/// Converts a summary for sending.
pub fn summary_to_proto(summary: CellSummary) -> proto::CellSummary {
    proto::CellSummary {
        form: summary.format,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.into_iter().collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}

/// Converts a received summary. The caller checks it with [`CellSummary::check`] before it is used.
pub fn summary_from_proto(summary: &proto::CellSummary) -> CellSummary {
    CellSummary {
        format: summary.form,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.iter().map(|(ty, cpus)| (ty.clone(), *cpus)).collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}
