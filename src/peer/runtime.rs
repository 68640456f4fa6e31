//! The asynchronous runtime, which serves and sends messages on one thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tonic::transport::Server;

use super::client::send_all;
use super::proto::peer_server::PeerServer;
use super::server::PeerService;
use super::{GrpcError, InboundMessage, OutboundMessage};

/// The maximum number of messages on one connection that are in progress at a time.
const MAX_CONCURRENT_STREAMS: u32 = 64;
/// The time within which a message from another controller must be answered.
const INBOUND_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates a runtime that runs on the thread that calls `block_on`.
pub(super) fn single_threaded_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_io().enable_time().build()
}

/// Serves and sends messages until the server or the sending of messages ends.
pub(super) fn run(
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
