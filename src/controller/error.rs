//! Errors that end a controller process: it could not start, or its HTTP server failed.

use std::net::SocketAddr;

/// Why [`super::Controller::run`], [`super::Controller::run_on`] or [`super::Controller::new`] failed.
/// Each is fatal for the process: the program reports it and exits.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// An address given in the settings could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address given in the settings.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The connections to the other controllers and cells could not be set up.
    #[error("cannot start the connections to the other controllers: {0}")]
    Peers(#[source] std::io::Error),
    /// The histograms of response latencies could not be created.
    #[error("cannot create the histograms of response latencies: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A thread for one of the controller's duties could not be started.
    #[error("cannot start the thread of a duty: {0}")]
    Thread(#[source] std::io::Error),
    /// The HTTP server for users, workers and the load balancer ended with an error.
    #[error("the HTTP server failed: {0}")]
    Serve(#[source] std::io::Error),
}
