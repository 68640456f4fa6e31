//! Sends messages to the other controllers from any thread. Controllers are identified by their index.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::runtime::run;
use super::{InboundMessage, PeerError, PeerMessage, PeerReply};
use crate::time::Micros;

/// The maximum number of messages in each of two queues: those to be sent, and those received but not yet
/// handled.
const QUEUE_LENGTH: usize = 64;
/// The additional time, after a message's timeout, for which its sender waits for the reply.
const REPLY_GRACE: Duration = Duration::from_millis(200);
/// The stack size of the runtime's thread, in bytes.
const STACK_BYTES: usize = 1024 * 1024;

/// A message to another controller, with the channel for its reply.
pub struct OutboundMessage {
    /// Index of the controller: first the other controllers of the own cell, then those of other cells.
    pub to: usize,
    /// The content of the message.
    pub message: PeerMessage,
    /// The time within which the other controller must reply.
    pub(super) timeout: Duration,
    /// The channel to the sender of the message, which waits for the reply.
    pub(super) reply: SyncSender<Result<PeerReply, PeerError>>,
}

impl OutboundMessage {
    /// Passes the reply, or the reason why there is none, to the sender of the message.
    pub fn answer(self, reply: Result<PeerReply, PeerError>) {
        let _ = self.reply.try_send(reply);
    }
}

/// A function that queues a message to another controller for sending. It returns an error if the message
/// cannot be queued.
pub type Transport = dyn Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync;

/// Sends messages to the other controllers. Clones share the same transport.
#[derive(Clone)]
pub struct PeerHub {
    transport: Arc<Transport>,
    /// The number of other controllers in the own cell.
    count: usize,
}

impl PeerHub {
    /// Starts the thread of the gRPC runtime, which serves `listener` and sends messages. The returned
    /// receiver yields the messages from other controllers.
    ///
    /// The index of a controller is its position in `members` followed by `other_cells`. `members` contains
    /// the other controllers of the own cell, `other_cells` the controllers of other cells.
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
                tracing::error!(%error, "the gRPC runtime has ended");
            }
        })?;
        let transport = move |message| outbound.try_send(message).map_err(queue_error);
        Ok((PeerHub::with_transport(count, transport), received))
    }

    /// Creates a hub that sends messages over `transport`, in a cell with `count` other controllers.
    pub fn with_transport(
        count: usize,
        transport: impl Fn(OutboundMessage) -> Result<(), PeerError> + Send + Sync + 'static,
    ) -> PeerHub {
        PeerHub { transport: Arc::new(transport), count }
    }

    /// The number of other controllers in the own cell.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Sends a message and waits for the reply.
    ///
    /// # Errors
    /// Any [`PeerError`]: the message was not sent, or no reply arrived in time.
    pub fn call(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PeerReply, PeerError> {
        self.send(to, message, timeout)?.wait()
    }

    /// Sends a message and returns without waiting for the reply.
    ///
    /// # Errors
    /// [`PeerError::Busy`] or [`PeerError::Stopped`]. In both cases the message is not sent.
    pub fn send(&self, to: usize, message: PeerMessage, timeout: Micros) -> Result<PendingReply, PeerError> {
        let (reply, pending) = sync_channel(1);
        let timeout = timeout.to_duration();
        (self.transport)(OutboundMessage { to, message, timeout, reply })?;
        Ok(PendingReply { reply: pending, timeout })
    }
}

/// The error for a message that does not fit into the runtime's queue.
fn queue_error(error: TrySendError<OutboundMessage>) -> PeerError {
    match error {
        TrySendError::Full(_) => PeerError::Busy,
        TrySendError::Closed(_) => PeerError::Stopped,
    }
}

/// A reply that has not arrived yet.
pub struct PendingReply {
    reply: Receiver<Result<PeerReply, PeerError>>,
    timeout: Duration,
}

impl PendingReply {
    /// Waits for the reply until the message's timeout and an additional [`REPLY_GRACE`] have passed.
    ///
    /// # Errors
    /// The reason why there is no reply.
    pub fn wait(self) -> Result<PeerReply, PeerError> {
        match self.reply.recv_timeout(self.timeout + REPLY_GRACE) {
            Ok(result) => result,
            Err(RecvTimeoutError::Timeout) => Err(PeerError::TimedOut),
            Err(RecvTimeoutError::Disconnected) => Err(PeerError::Stopped),
        }
    }
}
