//! Conversion of the messages about loans between cells to and from their protobuf form. What another
//! cell sends is checked here: sizes, job ids, sets of tasks and enum values.

use milletlock_cells::{
    CellSummary, LoanAction, LoanItem, LoanNumber, LoanOffer, LoanReport, LoanState, LoanSyncRequest,
    TaskSet, TaskSetError,
};

use crate::peer::proto;
use crate::wire::is_job_id;

/// Most loans in a message.
pub const MAX_LOANS: usize = 256;

/// Most characters of an invalid job id that an error repeats.
const MAX_QUOTED_CHARS: usize = 40;

/// Why a message about loans is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoanMessageError {
    /// A message for another cell.
    #[error("it is for cell {to}, this is {own}")]
    Misaddressed {
        /// The cell that it is for.
        to: String,
        /// This cell.
        own: String,
    },
    /// A sender that the settings do not name.
    #[error("no cell {0} is known here")]
    UnknownCell(String),
    /// More loans than a message may name; their number.
    #[error("{0} loans in a message")]
    TooManyLoans(usize),
    /// A job id of an invalid form; its beginning.
    #[error("`{0}` is no job")]
    InvalidJobId(String),
    /// A set of tasks that cannot be read.
    #[error("loan {loan}: {source}")]
    InvalidTasks {
        /// The loan's number.
        loan: u64,
        /// What is wrong with the set.
        source: TaskSetError,
    },
    /// An action that this version does not know.
    #[error("loan {loan}: wish {value} is not known")]
    UnknownAction {
        /// The loan's number.
        loan: u64,
        /// The value of the protobuf enum.
        value: i32,
    },
    /// A job description that is not JSON.
    #[error("loan {loan}: the description is no JSON")]
    MalformedDescription {
        /// The loan's number.
        loan: u64,
    },
}

/// A request as it is sent. Loans beyond what a message may name are put beyond its horizon: otherwise
/// they would count as closed.
pub fn request_to_proto(request: &LoanSyncRequest) -> proto::LoanRequest {
    let first_left_out = request.loans.get(MAX_LOANS);
    let horizon = match first_left_out {
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

/// Reads a received request.
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

/// A loan's report as it is sent.
pub fn report_to_proto(report: &LoanReport) -> proto::LoanReport {
    let number = report.number.0;
    match &report.state {
        LoanState::Accepted { tasks, done } => {
            proto::LoanReport { number, closed: false, tasks: tasks.to_bytes(), done: done.to_bytes() }
        }
        LoanState::Closed => proto::LoanReport { number, closed: true, ..proto::LoanReport::default() },
    }
}

/// Reads a received report on a loan.
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

/// A summary as it is sent.
pub fn summary_to_proto(summary: CellSummary) -> proto::CellSummary {
    proto::CellSummary {
        form: summary.format,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.into_iter().collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}

/// Reads a received summary. Whether it can be acted on is for [`CellSummary::check`] to say.
pub fn summary_from_proto(summary: &proto::CellSummary) -> CellSummary {
    CellSummary {
        format: summary.form,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.iter().map(|(ty, cpus)| (ty.clone(), *cpus)).collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}
