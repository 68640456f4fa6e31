//! Sends messages to the other controllers, by number, from any thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::runtime::run;
use super::{InboundMessage, PeerError, PeerMessage, PeerReply};
use crate::time::Micros;

/// Most messages that wait to be sent, and most that wait to be handled.
const QUEUE_LENGTH: usize = 64;
/// How much longer than a message's timeout its sender waits for the reply.
const REPLY_GRACE: Duration = Duration::from_millis(200);
/// Stack of the thread that runs the runtime, in bytes.
const STACK_BYTES: usize = 1024 * 1024;

/// A message on its way to another controller.
pub struct OutboundMessage {
    /// Number of the controller among the others.
    pub to: usize,
    /// Its content.
    pub message: PeerMessage,
    /// How long the other controller has to reply.
    pub(super) timeout: Duration,
    /// Where whoever waits for the reply receives it.
    pub(super) reply: SyncSender<Result<PeerReply, PeerError>>,
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
            if let Err(error) = run(listener, members, to_send, inbound) {
                tracing::error!(%error, "gRPC runtime ended");
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
    ///
    /// # Errors
    /// Any [`PeerError`].
    pub fn call(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PeerReply, PeerError> {
        self.send(to, message, timeout)?.wait()
    }

    /// Sends a message without waiting for the reply yet.
    ///
    /// # Errors
    /// [`PeerError::Busy`] or [`PeerError::Stopped`]: the message is not sent.
    pub fn send(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PendingReply, PeerError> {
        let (reply, pending) = sync_channel(1);
        let timeout = timeout.to_duration();
        (self.transport)(OutboundMessage { to, message, timeout, reply })?;
        Ok(PendingReply { reply: pending, timeout })
    }
}

/// Why the runtime's queue does not accept a message.
fn queue_error(error: TrySendError<OutboundMessage>) -> PeerError {
    match error {
        TrySendError::Full(_) => PeerError::Busy,
        TrySendError::Closed(_) => PeerError::Stopped,
    }
}

/// A reply that is still to come.
pub struct PendingReply {
    reply: Receiver<Result<PeerReply, PeerError>>,
    timeout: Duration,
}

impl PendingReply {
    /// Waits for it, no longer than the message's timeout and a little.
    ///
    /// # Errors
    /// Why there is no reply.
    pub fn wait(self) -> Result<PeerReply, PeerError> {
        match self.reply.recv_timeout(self.timeout + REPLY_GRACE) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => Err(PeerError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(PeerError::Stopped),
        }
    }
}
