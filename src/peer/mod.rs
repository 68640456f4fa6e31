//! gRPC between the controllers.
//!
//! `tonic` is asynchronous: it has one runtime on one thread, and channels lead to and from the
//! blocking threads. Nothing else in the program is asynchronous.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::error::TrySendError as QueueError;
use tokio::sync::{mpsc, oneshot};
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::time::Micros;

/// The messages and services, generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod proto {
    tonic::include_proto!("milletlock.peer.v1");
}

use proto::peer_client::PeerClient;
use proto::peer_server::{Peer, PeerServer};
pub use proto::{
    Ack, Answer, Call, Cancellation, Cancellations, JobCounts, JobNews, LoanReply, LoanRequest, Summary,
};

/// Most messages that wait to be sent, and most that wait to be handled.
const QUEUE_LENGTH: usize = 64;
/// Most messages that one controller may have under way to this one at a time.
const MAX_CONCURRENT_STREAMS: u32 = 64;
/// How long a message from another controller may wait for its reply.
const INBOUND_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection to another controller may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How much longer than a message's timeout its sender waits for the reply.
const REPLY_GRACE: Duration = Duration::from_millis(200);
/// Stack of the thread that runs the runtime, in bytes.
const STACK_BYTES: usize = 1024 * 1024;

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

/// A message from another controller, to be answered.
pub struct InboundMessage {
    /// What it says.
    pub message: PeerMessage,
    reply: oneshot::Sender<PeerReply>,
}

impl InboundMessage {
    /// Sends the reply.
    pub fn answer(self, reply: PeerReply) {
        // The other side may have given up by now.
        let _ = self.reply.send(reply);
    }
}

/// A message on its way to another controller.
pub struct OutboundMessage {
    /// Number of the controller among the others.
    pub to: usize,
    /// What it says.
    pub message: PeerMessage,
    timeout: Duration,
    reply: SyncSender<Result<PeerReply, PeerError>>,
}

impl OutboundMessage {
    /// Hands the reply, or why there is none, to whoever waits for it.
    pub fn answer(self, reply: Result<PeerReply, PeerError>) {
        let _ = self.reply.try_send(reply);
    }
}

/// Accepts messages to the other controllers for sending; an error if it accepts none for now.
pub type Transport = dyn Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync;

/// Sends messages to the other controllers.
#[derive(Clone)]
pub struct PeerHub {
    transport: Arc<Transport>,
    count: usize,
}

impl PeerHub {
    /// Starts the runtime's thread; messages from others come out of the receiver. Addresses of other
    /// cells' controllers are numbered after those of the own cell's `members`.
    ///
    /// # Errors
    /// If the listener cannot be made non-blocking or the thread cannot be started.
    pub fn start(
        listener: TcpListener,
        mut members: Vec<SocketAddr>,
        other_cells: &[SocketAddr],
    ) -> std::io::Result<(PeerHub, Receiver<InboundMessage>)> {
        let (outbound, to_send) = mpsc::channel(QUEUE_LENGTH);
        let (inbound, received) = sync_channel(QUEUE_LENGTH);
        let count = members.len();
        members.extend(other_cells);
        listener.set_nonblocking(true)?;
        std::thread::Builder::new().name("peer".into()).stack_size(STACK_BYTES).spawn(move || {
            if let Err(e) = run(listener, members, to_send, inbound) {
                tracing::error!(error = %e, "gRPC runtime ended");
            }
        })?;
        let transport = move |message| outbound.try_send(message).map_err(queue_error);
        Ok((PeerHub::with_transport(count, transport), received))
    }

    /// A hub for `count` other controllers over any transport.
    pub fn with_transport(
        count: usize,
        transport: impl Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync + 'static,
    ) -> PeerHub {
        PeerHub { transport: Arc::new(transport), count }
    }

    /// How many other controllers the cell has.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Sends a message and waits for the reply.
    pub fn call(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PeerReply, PeerError> {
        self.send(to, message, timeout)?.wait()
    }

    /// Sends a message without waiting for the reply yet.
    pub fn send(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PendingReply, PeerError> {
        let (reply, pending) = sync_channel(1);
        let timeout = timeout.std();
        (self.transport)(OutboundMessage { to, message, timeout, reply })?;
        Ok(PendingReply { reply: pending, timeout })
    }
}

fn queue_error(error: QueueError<OutboundMessage>) -> PeerError {
    match error {
        QueueError::Full(_) => PeerError::Busy,
        QueueError::Closed(_) => PeerError::Stopped,
    }
}

/// A reply that is still to come.
pub struct PendingReply {
    reply: Receiver<Result<PeerReply, PeerError>>,
    timeout: Duration,
}

impl PendingReply {
    /// Waits for it, no longer than the message's timeout and a little.
    pub fn wait(self) -> Result<PeerReply, PeerError> {
        match self.reply.recv_timeout(self.timeout + REPLY_GRACE) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => Err(PeerError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(PeerError::Stopped),
        }
    }
}

/// The gRPC service: passes messages on to the blocking threads and returns their replies.
struct PeerService {
    inbound: SyncSender<InboundMessage>,
}

impl PeerService {
    async fn reply(&self, message: PeerMessage) -> Result<PeerReply, Status> {
        let (reply, pending) = oneshot::channel();
        match self.inbound.try_send(InboundMessage { message, reply }) {
            Ok(()) => pending.await.map_err(|_| Status::unavailable("not answered")),
            Err(TrySendError::Full(_)) => Err(Status::resource_exhausted("busy")),
            Err(TrySendError::Disconnected(_)) => Err(Status::unavailable("stopping")),
        }
    }

    async fn ack(&self, message: PeerMessage) -> Result<Response<Ack>, Status> {
        match self.reply(message).await? {
            PeerReply::Ack(ack) => Ok(Response::new(ack)),
            _ => Err(wrong_reply()),
        }
    }
}

fn wrong_reply() -> Status {
    Status::internal("wrong answer")
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

fn single_threaded_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()
}

/// Serves and sends messages until either ends.
fn run(
    listener: TcpListener,
    members: Vec<SocketAddr>,
    to_send: mpsc::Receiver<OutboundMessage>,
    inbound: SyncSender<InboundMessage>,
) -> Result<(), GrpcError> {
    single_threaded_runtime()?.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
        let server = Server::builder()
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .timeout(INBOUND_TIMEOUT)
            .add_service(PeerServer::new(PeerService { inbound }))
            .serve_with_incoming(incoming);
        tokio::select! {
            result = server => result?,
            () = send_all(members, to_send) => {}
        }
        Ok(())
    })
}

/// The connection to one controller, opened when the first message is sent and again after a failure.
struct Connection {
    address: SocketAddr,
    channel: RefCell<Option<Channel>>,
}

impl Connection {
    fn new(address: SocketAddr) -> Rc<Connection> {
        Rc::new(Connection { address, channel: RefCell::new(None) })
    }

    /// The open channel, or a new one; none if the address cannot be used.
    fn channel(&self) -> Option<Channel> {
        let mut channel = self.channel.borrow_mut();
        if channel.is_none() {
            let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).ok()?;
            *channel = Some(endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy());
        }
        channel.clone()
    }

    /// Sends a message over a channel and hands over the reply.
    async fn deliver(&self, channel: Channel, outbound: OutboundMessage) {
        let OutboundMessage { message, timeout, reply, .. } = outbound;
        let result = match tokio::time::timeout(timeout, send(channel, message)).await {
            Ok(result) => result.map_err(|status| PeerError::Failed(status.message().to_string())),
            Err(_) => Err(PeerError::TimedOut),
        };
        if result.is_err() {
            // A network partition keeps a connection open in silence: the next message gets a new one.
            *self.channel.borrow_mut() = None;
        }
        let _ = reply.try_send(result);
    }
}

async fn send_all(members: Vec<SocketAddr>, mut to_send: mpsc::Receiver<OutboundMessage>) {
    let connections: Vec<Rc<Connection>> = members.into_iter().map(Connection::new).collect();
    let send_each = async move {
        while let Some(outbound) = to_send.recv().await {
            let Some(connection) = connections.get(outbound.to).cloned() else { continue };
            let Some(channel) = connection.channel() else { continue };
            tokio::task::spawn_local(async move { connection.deliver(channel, outbound).await });
        }
    };
    tokio::task::LocalSet::new().run_until(send_each).await;
}

async fn send(channel: Channel, message: PeerMessage) -> Result<PeerReply, Status> {
    let mut client = PeerClient::new(channel);
    Ok(match message {
        PeerMessage::Announce(summary) => PeerReply::Ack(client.announce(summary).await?.into_inner()),
        PeerMessage::Notify(news) => PeerReply::Ack(client.notify(news).await?.into_inner()),
        PeerMessage::Cancelled(jobs) => PeerReply::Ack(client.cancelled(jobs).await?.into_inner()),
        PeerMessage::Relay(call) => PeerReply::Answer(client.relay(call).await?.into_inner()),
        PeerMessage::Lend(loans) => PeerReply::Loans(client.lend(loans).await?.into_inner()),
    })
}

/// Calls one controller once, for the command line: no runtime is left running.
///
/// # Errors
/// If the controller cannot be reached in time or refuses the call.
pub fn call_once(address: SocketAddr, call: Call, timeout: Micros) -> Result<Answer, GrpcError> {
    single_threaded_runtime()?.block_on(async {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
        let channel = endpoint.connect_timeout(timeout.std()).timeout(timeout.std()).connect().await?;
        let response = PeerClient::new(channel).relay(call).await;
        response.map(Response::into_inner).map_err(|status| GrpcError::Refused(Box::new(status)))
    })
}
