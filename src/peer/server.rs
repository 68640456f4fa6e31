//! The gRPC service, which receives messages from other controllers.

use std::sync::mpsc::{SyncSender, TrySendError};

use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use super::proto::peer_server::Peer;
use super::proto::{Ack, Answer, Call, Cancellations, JobNews, LoanReply, LoanRequest, Summary};
use super::{PeerMessage, PeerReply};

/// A message from another controller that is to be answered.
pub struct InboundMessage {
    /// The content of the message.
    pub message: PeerMessage,
    reply: oneshot::Sender<PeerReply>,
}

impl InboundMessage {
    /// Sends the reply to the controller that sent the message.
    pub fn answer(self, reply: PeerReply) {
        // Sending fails if the other controller no longer waits for the reply.
        let _ = self.reply.send(reply);
    }
}

/// The implementation of the service: passes messages to the blocking threads and returns their replies.
pub(super) struct PeerService {
    pub(super) inbound: SyncSender<InboundMessage>,
}

impl PeerService {
    /// Passes a message to the blocking threads and waits for its reply.
    async fn reply(&self, message: PeerMessage) -> Result<PeerReply, Status> {
        let (reply, pending) = oneshot::channel();
        match self.inbound.try_send(InboundMessage { message, reply }) {
            Ok(()) => pending.await.map_err(|_| Status::unavailable("the message was not answered")),
            Err(TrySendError::Full(_)) => Err(Status::resource_exhausted("too many messages are waiting")),
            Err(TrySendError::Disconnected(_)) => Err(Status::unavailable("the controller is stopping")),
        }
    }

    /// Passes on a message whose reply is an acknowledgement, and waits for it.
    async fn ack(&self, message: PeerMessage) -> Result<Response<Ack>, Status> {
        match self.reply(message).await? {
            PeerReply::Ack(ack) => Ok(Response::new(ack)),
            _ => Err(wrong_reply()),
        }
    }
}

/// The status for a reply whose kind does not match the message.
fn wrong_reply() -> Status {
    Status::internal("the reply does not match the message")
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn announce(&self, request: Request<Summary>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Announce(request.into_inner())).await
    }

    async fn notify(&self, request: Request<JobNews>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Notify(request.into_inner())).await
    }

    async fn cancelled(&self, request: Request<Cancellations>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Cancelled(request.into_inner())).await
    }

    async fn relay(&self, request: Request<Call>) -> Result<Response<Answer>, Status> {
        match self.reply(PeerMessage::Relay(request.into_inner())).await? {
            PeerReply::Answer(answer) => Ok(Response::new(answer)),
            _ => Err(wrong_reply()),
        }
    }

    async fn lend(&self, request: Request<LoanRequest>) -> Result<Response<LoanReply>, Status> {
        match self.reply(PeerMessage::Lend(request.into_inner())).await? {
            PeerReply::Loans(reply) => Ok(Response::new(reply)),
            _ => Err(wrong_reply()),
        }
    }
}
