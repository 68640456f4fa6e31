//! How many connections and threads the HTTP server may use, derived from the platform's limits and
//! the operators' settings.

use super::Config;
use crate::http::{ServerLimits, READER_THREADS};

/// Threads that send fencing tokens to machines at the same time.
pub const FENCING_TOKEN_THREADS: usize = 6;
/// Threads that send halts to machines at the same time.
pub const HALT_THREADS: usize = 9;
/// Threads that send direct commands at the same time.
const COMMAND_THREADS: usize = FENCING_TOKEN_THREADS + HALT_THREADS;
/// Threads of the controller besides the server's pool: nine duties, three for the other controllers,
/// their runtime, the poll loop, the main thread, and those that send direct commands.
const CONTROLLER_THREADS: usize = 15 + COMMAND_THREADS;
/// Sockets besides those of the server's connections: listeners, watches, the cloud, the other
/// controllers, direct commands.
const CONTROLLER_SOCKETS: usize = 17 + COMMAND_THREADS;
/// Fewest threads that the operators may set: with them eight are left to handle requests.
pub(super) const MIN_THREADS: usize = CONTROLLER_THREADS + READER_THREADS + 8;
/// Fewest threads that handle requests.
const MIN_REQUEST_THREADS: usize = 2;
/// Fewest connections, however small the platform's limits are.
const MIN_CONNECTIONS: usize = 8;
/// Memory that an open connection takes while its request is read and handled, generously, in KiB.
/// Idle ones take next to nothing.
const CONNECTION_MEMORY_KB: f64 = 8.0;
/// Part of the process's memory that connections may take.
const CONNECTION_MEMORY_SHARE: f64 = 0.5;
/// One connection in so many is for users and health checks alone.
pub(super) const RESERVED_CONNECTION_DIVISOR: usize = 8;
/// At most one socket in so many is for calls to the state store that answer users.
const STATE_STORE_SOCKET_DIVISOR: usize = 8;

impl Config {
    /// The limits of the HTTP server. Connections: what the operators set, or else as many as the
    /// platform's limits of sockets and memory allow besides the controller's own. Threads: what the
    /// operators set, less the controller's own; two thirds of them are for users.
    pub fn server_limits(&self) -> ServerLimits {
        let request_threads = self.request_threads();
        let connections = match self.operator.max_connections {
            0 => self.connections_by_platform(),
            set_by_operators => set_by_operators,
        };
        ServerLimits {
            connections,
            background_connections: connections - connections / RESERVED_CONNECTION_DIVISOR,
            interactive_threads: self.interactive_threads(),
            background_threads: (request_threads - request_threads * 2 / 3).max(1),
        }
    }

    /// Threads that handle requests of users and workers.
    fn request_threads(&self) -> usize {
        let lending_threads = usize::from(self.operator.cells.is_some());
        let other_threads = CONTROLLER_THREADS + READER_THREADS + lending_threads;
        self.operator.max_threads.saturating_sub(other_threads).max(MIN_REQUEST_THREADS)
    }

    /// Threads that handle users' requests. Each may need a connection to the state store.
    fn interactive_threads(&self) -> usize {
        let max_state_store_sockets = self.platform.settings.limits.max_sockets / STATE_STORE_SOCKET_DIVISOR;
        (self.request_threads() * 2 / 3).min(max_state_store_sockets).max(1)
    }

    /// Connections that the platform's limits of sockets and memory allow.
    fn connections_by_platform(&self) -> usize {
        let memory_kb = self.platform.settings.limits.ram_mb * CONNECTION_MEMORY_SHARE * 1024.0;
        let by_memory = (memory_kb / CONNECTION_MEMORY_KB) as usize;
        self.connections_by_sockets().min(by_memory).max(MIN_CONNECTIONS)
    }

    /// Connections that the platform's limit of sockets allows besides the controller's own sockets.
    pub(super) fn connections_by_sockets(&self) -> usize {
        let max_sockets = self.platform.settings.limits.max_sockets;
        let own_sockets = (CONTROLLER_SOCKETS + self.interactive_threads()).min(max_sockets / 2);
        max_sockets - own_sockets
    }
}
