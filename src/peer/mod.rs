//! The gRPC connections between controllers.
//!
//! The library `tonic` is asynchronous. It runs in one runtime on one thread, which exchanges messages with
//! the blocking threads through channels. Nothing else in the program is asynchronous.

mod client;
mod hub;
mod runtime;
mod server;

use tonic::Status;

pub use self::client::call_once;
pub use self::hub::{OutboundMessage, PeerHub, PendingReply, Transport};
pub use self::server::InboundMessage;

/// The messages and the service, generated from `proto/peer.proto`.
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
    /// The current leader, and the task counts of jobs, from which the receiver answers status requests.
    Announce(Summary),
    /// A job's record was written, or the job has ended.
    Notify(JobNews),
    /// Jobs whose cancellation has been confirmed.
    Cancelled(Cancellations),
    /// A request of a user or operator that the other controller is to answer.
    Relay(Call),
    /// The open loans of another cell to this cell.
    Lend(LoanRequest),
}

/// The reply to a [`PeerMessage`].
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// The reply to `Announce`, `Notify` and `Cancelled`.
    Ack(Ack),
    /// The reply to `Relay`.
    Answer(Answer),
    /// The reply to `Lend`.
    Loans(LoanReply),
}

/// The reasons why a message to another controller has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The queue of messages to be sent is full.
    #[error("too many messages are waiting to be sent")]
    Busy,
    /// No reply arrived in time.
    #[error("no reply within the time limit")]
    TimedOut,
    /// The gRPC runtime, which sends the messages, has ended.
    #[error("the gRPC runtime has ended")]
    Stopped,
    /// The other controller cannot be reached or refused the message. The value is the reason.
    #[error("{0}")]
    Failed(String),
}

/// The reasons for which the gRPC runtime, or a single call with [`call_once`], failed.
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
