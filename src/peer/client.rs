//! The gRPC client, which sends messages to the other controllers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

use super::proto::peer_client::PeerClient;
use super::runtime::single_threaded_runtime;
use super::{Answer, Call, GrpcError, OutboundMessage, PeerError, PeerMessage, PeerReply};
use crate::time::Micros;

/// The time limit for opening a connection to another controller.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The connection to one controller. It is opened for the first message, and again after a failure.
struct Connection {
    address: SocketAddr,
    /// The channel for the next message, or `None` before the first message and after a failure.
    channel: RefCell<Option<Channel>>,
}

impl Connection {
    fn new(address: SocketAddr) -> Rc<Connection> {
        Rc::new(Connection { address, channel: RefCell::new(None) })
    }

    /// The current channel, or a new one if there is none. Returns `None` if the address is invalid.
    fn channel(&self) -> Option<Channel> {
        let mut channel = self.channel.borrow_mut();
        if channel.is_none() {
            let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).ok()?;
            *channel = Some(endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy());
        }
        channel.clone()
    }

    /// Sends a message over a channel and passes the reply, or the error, to the waiting sender.
    async fn deliver(&self, channel: Channel, outbound: OutboundMessage) {
        let OutboundMessage { message, timeout, reply, .. } = outbound;
        let result = match tokio::time::timeout(timeout, send(channel, message)).await {
            Ok(result) => result.map_err(|status| PeerError::Failed(status.message().to_string())),
            Err(_) => Err(PeerError::TimedOut),
        };
        if result.is_err() {
            // During a network partition, a connection can stay open although nothing arrives any more. The
            // next message therefore opens a new connection.
            *self.channel.borrow_mut() = None;
        }
        let _ = reply.try_send(result);
    }
}

/// Sends the messages in the order in which they arrive in `to_send`, without waiting for replies in between.
/// Returns when the sending half of `to_send` is dropped.
pub(super) async fn send_all(members: Vec<SocketAddr>, mut to_send: mpsc::Receiver<OutboundMessage>) {
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

/// Calls the gRPC method for a message and returns its reply.
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

/// Sends a single request to a controller, for the command line. The runtime ends with the call.
///
/// # Errors
/// If the runtime cannot be started, or if the controller cannot be reached in time or refuses the call.
pub fn call_once(address: SocketAddr, call: Call, timeout: Micros) -> Result<Answer, GrpcError> {
    single_threaded_runtime()?.block_on(async {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
        let channel =
            endpoint.connect_timeout(timeout.to_duration()).timeout(timeout.to_duration()).connect().await?;
        let response = PeerClient::new(channel).relay(call).await;
        response.map(Response::into_inner).map_err(|status| GrpcError::Refused(Box::new(status)))
    })
}
