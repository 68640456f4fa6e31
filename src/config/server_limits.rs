//! Derives how many connections and threads the HTTP server may use from the platform's limits and the
//! operators' settings.

use super::Config;
use crate::http::{ServerLimits, READER_THREADS};

/// Number of threads that send the leader's fencing token to machines.
pub const FENCING_TOKEN_THREADS: usize = 6;
/// Number of threads that send halt commands to machines.
pub const HALT_THREADS: usize = 9;
/// Number of threads that send direct commands of either kind.
const COMMAND_THREADS: usize = FENCING_TOKEN_THREADS + HALT_THREADS;
/// Number of the controller's threads outside the HTTP server's pool: nine for the controller's duties, three
/// for the other controllers, one for their async runtime, the server's poll loop, the main thread, and the
/// threads that send direct commands.
const CONTROLLER_THREADS: usize = 15 + COMMAND_THREADS;
/// Number of sockets besides the HTTP server's connections: listeners, watches, and connections to the cloud,
/// to other controllers and to workers for direct commands.
const CONTROLLER_SOCKETS: usize = 17 + COMMAND_THREADS;
/// Minimum of the setting `max_threads`. It leaves eight threads to handle requests.
pub(super) const MIN_THREADS: usize = CONTROLLER_THREADS + READER_THREADS + 8;
/// Minimum number of threads that handle requests.
const MIN_REQUEST_THREADS: usize = 2;
/// Minimum number of connections if it is derived from the platform's limits.
const MIN_CONNECTIONS: usize = 8;
/// Upper estimate of the memory, in KiB, that an open connection takes while its request is read and handled.
/// An idle connection takes almost none.
const CONNECTION_MEMORY_KB: f64 = 8.0;
/// Fraction of the process's memory limit that connections may take.
const CONNECTION_MEMORY_SHARE: f64 = 0.5;
/// One in this many connections is reserved for users and health checks.
pub(super) const RESERVED_CONNECTION_DIVISOR: usize = 8;
/// At most one in this many sockets is used for calls to the state store on behalf of users.
const STATE_STORE_SOCKET_DIVISOR: usize = 8;

impl Config {
    /// The limits of the HTTP server. The number of connections is the operators' `max_connections`, or, if
    /// that is 0, as many as the platform's limits of sockets and memory allow besides the controller's own
    /// sockets. The number of threads is the operators' `max_threads` less the controller's own threads. Two
    /// thirds of these threads handle requests of users.
    pub fn server_limits(&self) -> ServerLimits {
        let request_threads = self.request_threads();
        let connections = match self.operator.max_connections {
            0 => self.connections_by_platform(),
            max_connections => max_connections,
        };
        ServerLimits {
            connections,
            background_connections: connections - connections / RESERVED_CONNECTION_DIVISOR,
            interactive_threads: self.interactive_threads(),
            background_threads: (request_threads - request_threads * 2 / 3).max(1),
        }
    }

    /// Number of threads that handle requests of users and workers.
    fn request_threads(&self) -> usize {
        let lending_threads = usize::from(self.operator.cells.is_some());
        let other_threads = CONTROLLER_THREADS + READER_THREADS + lending_threads;
        self.operator.max_threads.saturating_sub(other_threads).max(MIN_REQUEST_THREADS)
    }

    /// Number of threads that handle requests of users. Each of them may need a connection to the state
    /// store.
    fn interactive_threads(&self) -> usize {
        let max_state_store_sockets = self.platform.settings.limits.max_sockets / STATE_STORE_SOCKET_DIVISOR;
        (self.request_threads() * 2 / 3).min(max_state_store_sockets).max(1)
    }

    /// Number of connections that the platform's limits of sockets and memory allow.
    fn connections_by_platform(&self) -> usize {
        let memory_kb = self.platform.settings.limits.ram_mb * CONNECTION_MEMORY_SHARE * 1024.0;
        let by_memory = (memory_kb / CONNECTION_MEMORY_KB) as usize;
        self.connections_by_sockets().min(by_memory).max(MIN_CONNECTIONS)
    }

    /// Number of connections that the platform's limit of sockets allows besides the controller's own
    /// sockets.
    pub(super) fn connections_by_sockets(&self) -> usize {
        let max_sockets = self.platform.settings.limits.max_sockets;
        let own_sockets = (CONTROLLER_SOCKETS + self.interactive_threads()).min(max_sockets / 2);
        max_sockets - own_sockets
    }
}
