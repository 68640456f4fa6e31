//! gRPC between the controllers.
//!
//! `tonic` is asynchronous: it has one runtime on one thread, and channels lead to and from the
//! blocking threads. Nothing else in the program is asynchronous.

mod client;
mod hub;
mod runtime;
mod server;

use tonic::Status;

pub use self::client::call_once;
pub use self::hub::{OutboundMessage, PeerHub, PendingReply, Transport};
pub use self::server::InboundMessage;

/// The messages and services, generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod proto {
    tonic::include_proto!("milletlock.peer.v1");
}

pub use proto::{
    Ack, Answer, Call, Cancellation, Cancellations, JobCounts, JobNews, LoanReply, LoanRequest, Summary,
};

/// A message to another controller.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// Who leads, and task counts of jobs for status requests.
    Announce(Summary),
    /// A job record was written, or the job has ended.
    Notify(JobNews),
    /// Jobs whose cancellation was confirmed.
    Cancelled(Cancellations),
    /// A request for the other controller to answer.
    Relay(Call),
    /// Another cell's open loans.
    Lend(LoanRequest),
}

/// The reply to a message.
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// To an announcement, news of a job or cancellations.
    Ack(Ack),
    /// To a relayed request.
    Answer(Answer),
    /// To another cell's loans.
    Loans(LoanReply),
}

/// Why a message to another controller has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// Too many messages wait to be sent.
    #[error("too many messages wait to be sent")]
    Busy,
    /// No reply came in time.
    #[error("time-out")]
    TimedOut,
    /// The runtime that sends messages has ended.
    #[error("the runtime is gone")]
    Stopped,
    /// The other controller cannot be reached, or refused.
    #[error("{0}")]
    Failed(String),
}

/// Why the gRPC runtime, or a single call with [`call_once`], failed.
#[derive(Debug, thiserror::Error)]
pub enum GrpcError {
    /// The runtime or its listener could not be set up.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// The connection or the server failed.
    #[error(transparent)]
    Transport(#[from] tonic::transport::Error),
    /// The controller refused the call.
    #[error(transparent)]
    Refused(Box<Status>),
}
