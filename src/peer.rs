//! gRPC between the controllers. `tonic` is asynchronous: it has one runtime on one thread, and
//! channels lead to and from the blocking routines. Nothing else in the program is asynchronous.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

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

/// A message to another controller.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// Who leads, and numbers for polls.
    Announce(Summary),
    /// A job was written or ended.
    Notify(JobNews),
    /// Jobs whose cancellation was confirmed.
    Cancelled(Cancellations),
    /// A request to be answered by the other.
    Relay(Call),
    /// Another cell's open loans.
    Lend(LoanRequest),
}

/// The answer to a message.
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// To an announcement or to news.
    Ack(Ack),
    /// To a relayed request.
    Answer(Answer),
    /// To another cell's loans.
    Loans(LoanReply),
}

/// Why a message to another controller has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// Too many messages are on their way out.
    #[error("too many messages wait to be sent")]
    Busy,
    /// No answer came in time.
    #[error("time-out")]
    TimedOut,
    /// The runtime that sends messages has ended.
    #[error("the runtime is gone")]
    Stopped,
    /// The other cannot be reached, or refused.
    #[error("{0}")]
    Failed(String),
}

/// A message from another controller, with the way back.
pub struct InboundMessage {
    /// What it says.
    pub message: PeerMessage,
    reply: tokio::sync::oneshot::Sender<PeerReply>,
}

impl InboundMessage {
    /// Answers it.
    pub fn answer(self, o: PeerReply) {
        // The other side may have given up by now.
        let _ = self.reply.send(o);
    }
}

/// A message on its way out.
pub struct OutboundMessage {
    /// To which of the others, by number.
    pub to: usize,
    /// What it says.
    pub message: PeerMessage,
    timeout: Duration,
    reply: SyncSender<Result<PeerReply, PeerError>>,
}

impl OutboundMessage {
    /// Hands the answer, or why there is none, to whoever waits for it.
    pub fn answer(self, r: Result<PeerReply, PeerError>) {
        let _ = self.reply.try_send(r);
    }
}

/// What takes messages to the other controllers; an error if it takes no more for now.
pub type Transport = dyn Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync;

/// Sends messages to the other controllers.
#[derive(Clone)]
pub struct PeerHub {
    out: Arc<Transport>,
    count: usize,
}

impl PeerHub {
    /// Starts the runtime's thread; messages from others come out of the receiver. Addresses of other
    /// cells' controllers are numbered after those of the own cell's `members`.
    pub fn start(
        listener: TcpListener,
        mut members: Vec<SocketAddr>,
        other_cells: &[SocketAddr],
    ) -> std::io::Result<(PeerHub, Receiver<InboundMessage>)> {
        let (out, orders) = tokio::sync::mpsc::channel(64);
        let (inbound, messages) = sync_channel(64);
        let count = members.len();
        members.extend(other_cells);
        listener.set_nonblocking(true)?;
        std::thread::Builder::new().name("peer".into()).stack_size(1024 * 1024).spawn(move || {
            if let Err(e) = run(listener, members, orders, inbound) {
                tracing::error!(error = %e, "the runtime between controllers ended");
            }
        })?;
        Ok((PeerHub::with_transport(count, move |o| out.try_send(o).map_err(not_sent)), messages))
    }

    /// A hub for so many others over any carrier.
    pub fn with_transport(
        count: usize,
        carry: impl Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync + 'static,
    ) -> PeerHub {
        PeerHub { out: Arc::new(carry), count }
    }

    /// How many other controllers the cell has.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Sends and waits for the answer.
    pub fn call(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PeerReply, PeerError> {
        self.begin(to, message, timeout)?.wait()
    }

    /// Sends without waiting yet.
    pub fn begin(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PendingReply, PeerError> {
        let (reply, answer) = sync_channel(1);
        let timeout = timeout.std();
        (self.out)(OutboundMessage { to, message, timeout, reply })?;
        Ok(PendingReply { answer, timeout })
    }
}

fn not_sent(error: tokio::sync::mpsc::error::TrySendError<OutboundMessage>) -> PeerError {
    match error {
        tokio::sync::mpsc::error::TrySendError::Full(_) => PeerError::Busy,
        tokio::sync::mpsc::error::TrySendError::Closed(_) => PeerError::Stopped,
    }
}

/// An answer to come.
pub struct PendingReply {
    answer: Receiver<Result<PeerReply, PeerError>>,
    timeout: Duration,
}

impl PendingReply {
    /// Waits for it, no longer than the message's time-out and a little.
    pub fn wait(self) -> Result<PeerReply, PeerError> {
        match self.answer.recv_timeout(self.timeout + Duration::from_millis(200)) {
            Ok(r) => r,
            Err(RecvTimeoutError::Timeout) => Err(PeerError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(PeerError::Stopped),
        }
    }
}

struct Service {
    inbound: SyncSender<InboundMessage>,
}

impl Service {
    async fn ask(&self, message: PeerMessage) -> Result<PeerReply, Status> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        match self.inbound.try_send(InboundMessage { message, reply }) {
            Ok(()) => answer.await.map_err(|_| Status::unavailable("not answered")),
            Err(TrySendError::Full(_)) => Err(Status::resource_exhausted("busy")),
            Err(TrySendError::Disconnected(_)) => Err(Status::unavailable("stopping")),
        }
    }

    async fn ack(&self, message: PeerMessage) -> Result<Response<Ack>, Status> {
        match self.ask(message).await? {
            PeerReply::Ack(a) => Ok(Response::new(a)),
            _ => Err(Status::internal("wrong answer")),
        }
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn announce(&self, r: Request<Summary>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Announce(r.into_inner())).await
    }

    async fn notify(&self, r: Request<JobNews>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Notify(r.into_inner())).await
    }

    async fn cancelled(&self, r: Request<Cancellations>) -> Result<Response<Ack>, Status> {
        self.ack(PeerMessage::Cancelled(r.into_inner())).await
    }

    async fn relay(&self, r: Request<Call>) -> Result<Response<Answer>, Status> {
        match self.ask(PeerMessage::Relay(r.into_inner())).await? {
            PeerReply::Answer(a) => Ok(Response::new(a)),
            _ => Err(Status::internal("wrong answer")),
        }
    }

    async fn lend(&self, r: Request<LoanRequest>) -> Result<Response<LoanReply>, Status> {
        match self.ask(PeerMessage::Lend(r.into_inner())).await? {
            PeerReply::Loans(reply) => Ok(Response::new(reply)),
            _ => Err(Status::internal("wrong answer")),
        }
    }
}

fn run(
    listener: TcpListener,
    members: Vec<SocketAddr>,
    orders: tokio::sync::mpsc::Receiver<OutboundMessage>,
    inbound: SyncSender<InboundMessage>,
) -> anyhow::Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    rt.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
        let server = Server::builder()
            .max_concurrent_streams(64)
            .timeout(Duration::from_secs(5))
            .add_service(PeerServer::new(Service { inbound }))
            .serve_with_incoming(incoming);
        let sending = send_all(members, orders);
        tokio::select! {
            r = server => r?,
            () = sending => {}
        }
        Ok(())
    })
}

async fn send_all(members: Vec<SocketAddr>, mut orders: tokio::sync::mpsc::Receiver<OutboundMessage>) {
    let fresh = |a: &SocketAddr| -> Option<Channel> {
        let e = Endpoint::from_shared(format!("http://{a}")).ok()?;
        Some(e.connect_timeout(Duration::from_millis(800)).tcp_nodelay(true).connect_lazy())
    };
    let channels: Vec<std::rc::Rc<std::cell::RefCell<Option<Channel>>>> =
        members.iter().map(|_| std::rc::Rc::default()).collect();
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async move {
            while let Some(o) = orders.recv().await {
                let (Some(slot), Some(addr)) = (channels.get(o.to).cloned(), members.get(o.to)) else {
                    continue;
                };
                if slot.borrow().is_none() {
                    *slot.borrow_mut() = fresh(addr);
                }
                let Some(channel) = slot.borrow().clone() else { continue };
                tokio::task::spawn_local(async move {
                    let r = match tokio::time::timeout(o.timeout, send(channel, o.message)).await {
                        Ok(r) => r.map_err(|status| PeerError::Failed(status.message().to_string())),
                        // A cut holds a connection without a word: the next message gets a new one.
                        Err(_) => Err(PeerError::TimedOut),
                    };
                    if r.is_err() {
                        *slot.borrow_mut() = None;
                    }
                    let _ = o.reply.try_send(r);
                });
            }
        })
        .await;
}

async fn send(channel: Channel, message: PeerMessage) -> Result<PeerReply, Status> {
    let mut c = PeerClient::new(channel);
    Ok(match message {
        PeerMessage::Announce(m) => PeerReply::Ack(c.announce(m).await?.into_inner()),
        PeerMessage::Notify(m) => PeerReply::Ack(c.notify(m).await?.into_inner()),
        PeerMessage::Cancelled(m) => PeerReply::Ack(c.cancelled(m).await?.into_inner()),
        PeerMessage::Relay(m) => PeerReply::Answer(c.relay(m).await?.into_inner()),
        PeerMessage::Lend(m) => PeerReply::Loans(c.lend(m).await?.into_inner()),
    })
}

/// Asks one controller once, for the command line: no runtime is left running.
pub fn call_once(addr: SocketAddr, call: Call, timeout: Micros) -> anyhow::Result<Answer> {
    let rt = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    rt.block_on(async {
        let e = Endpoint::from_shared(format!("http://{addr}"))?;
        let channel = e.connect_timeout(timeout.std()).timeout(timeout.std()).connect().await?;
        Ok(PeerClient::new(channel).relay(call).await?.into_inner())
    })
}
