//! The loans' messages as they travel between controllers of different cells.

use milletlock_cells::{
    CellSummary, LoanItem, LoanNumber, LoanReport, LoanState, Offer, Request, TaskSet, TaskSetError, Wish,
};

use crate::peer::proto;
use crate::wire::is_job_id;

/// Most loans in a message.
pub const MAX_LOANS: usize = 256;

/// A message that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A message for another cell.
    #[error("it is for cell {to}, this is {own}")]
    Misaddressed {
        /// The cell that it is for.
        to: String,
        /// This cell.
        own: String,
    },
    /// A cell that the settings do not name.
    #[error("no cell {0} is known here")]
    UnknownCell(String),
    /// More loans than a message may name.
    #[error("{0} loans in a message")]
    TooMany(usize),
    /// A job that has no job's name.
    #[error("`{0}` is no job")]
    NoJob(String),
    /// A set of tasks that is none.
    #[error("loan {0}: {1}")]
    Tasks(u64, TaskSetError),
    /// A wish that is not known.
    #[error("loan {0}: wish {1} is not known")]
    Wish(u64, i32),
    /// A description that is no JSON.
    #[error("loan {0}: the description is no JSON")]
    Description(u64),
}

/// A request as it is sent. Loans beyond what a message may name are beyond its horizon: otherwise they
/// would count as closed.
pub fn request_to_proto(request: &Request) -> proto::LoanRequest {
    let left_out = request.loans.get(MAX_LOANS);
    let horizon = left_out.map_or(request.horizon.0, |loan| request.horizon.0.min(loan.number.0 - 1));
    proto::LoanRequest {
        from: request.from.clone(),
        to: request.to.clone(),
        term: request.term,
        horizon,
        loans: request.loans.iter().take(MAX_LOANS).map(item_to_proto).collect(),
    }
}

fn item_to_proto(item: &LoanItem) -> proto::LoanItem {
    let wish = match item.wish {
        Wish::Run => proto::LoanWish::Run,
        Wish::Recall => proto::LoanWish::Recall,
        Wish::Cancel => proto::LoanWish::Cancel,
    };
    let offer = item.offer.as_ref().map(|offer| proto::LoanOffer {
        description: offer.description.to_string().into_bytes(),
        job_tasks: offer.job_tasks,
    });
    proto::LoanItem {
        number: item.number.0,
        job: item.job.clone(),
        tasks: item.tasks.to_bytes(),
        wish: wish as i32,
        offer,
    }
}

/// A request as it was received.
pub fn request_from_proto(request: &proto::LoanRequest) -> Result<Request, MessageError> {
    if request.loans.len() > MAX_LOANS {
        return Err(MessageError::TooMany(request.loans.len()));
    }
    Ok(Request {
        from: request.from.clone(),
        to: request.to.clone(),
        term: request.term,
        horizon: LoanNumber(request.horizon),
        loans: request.loans.iter().map(item_from_proto).collect::<Result<_, _>>()?,
    })
}

fn item_from_proto(item: &proto::LoanItem) -> Result<LoanItem, MessageError> {
    if !is_job_id(&item.job) {
        return Err(MessageError::NoJob(item.job.chars().take(40).collect()));
    }
    let wish = match proto::LoanWish::try_from(item.wish) {
        Ok(proto::LoanWish::Run) => Wish::Run,
        Ok(proto::LoanWish::Recall) => Wish::Recall,
        Ok(proto::LoanWish::Cancel) => Wish::Cancel,
        Err(_) => return Err(MessageError::Wish(item.number, item.wish)),
    };
    let offer = match &item.offer {
        Some(offer) => Some(Offer {
            description: serde_json::from_slice(&offer.description)
                .map_err(|_| MessageError::Description(item.number))?,
            job_tasks: offer.job_tasks,
        }),
        None => None,
    };
    Ok(LoanItem {
        number: LoanNumber(item.number),
        job: item.job.clone(),
        tasks: tasks_from_bytes(item.number, &item.tasks)?,
        wish,
        offer,
    })
}

fn tasks_from_bytes(number: u64, bytes: &[u8]) -> Result<TaskSet, MessageError> {
    TaskSet::from_bytes(bytes).map_err(|e| MessageError::Tasks(number, e))
}

/// A loan's report as it is sent.
pub fn report_to_proto(report: &LoanReport) -> proto::LoanReport {
    let number = report.number.0;
    match &report.state {
        LoanState::Held { tasks, done } => {
            proto::LoanReport { number, closed: false, tasks: tasks.to_bytes(), done: done.to_bytes() }
        }
        LoanState::Closed => proto::LoanReport { number, closed: true, ..proto::LoanReport::default() },
    }
}

/// A loan's report as it was received.
pub fn report_from_proto(report: &proto::LoanReport) -> Result<LoanReport, MessageError> {
    let state = if report.closed {
        LoanState::Closed
    } else {
        LoanState::Held {
            tasks: tasks_from_bytes(report.number, &report.tasks)?,
            done: tasks_from_bytes(report.number, &report.done)?,
        }
    };
    Ok(LoanReport { number: LoanNumber(report.number), state })
}

/// A summary as it is sent.
pub fn summary_to_proto(summary: CellSummary) -> proto::CellSummary {
    proto::CellSummary {
        form: summary.form,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.into_iter().collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}

/// A summary as it was received.
pub fn summary_from_proto(summary: &proto::CellSummary) -> CellSummary {
    CellSummary {
        form: summary.form,
        composed_us: summary.composed_us,
        free_cpus: summary.free_cpus.iter().map(|(ty, cpus)| (ty.clone(), *cpus)).collect(),
        spare_cpus: summary.spare_cpus,
        backlog_s: summary.backlog_s,
    }
}
