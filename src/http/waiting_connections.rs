//! The connections that wait for data. Each needs a socket but no thread.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mio::{Events, Registry, Token};

use super::connection::Connection;
use super::lock;
use crate::time::Steady;

/// The connections that wait for data, by their token in the poll loop.
pub(super) struct WaitingConnections {
    registry: Registry,
    connections: Mutex<BTreeMap<Token, Connection>>,
}

impl WaitingConnections {
    /// Creates an empty set. The poll loop of `registry` reports when a connection has data.
    pub(super) fn new(registry: Registry) -> WaitingConnections {
        WaitingConnections { registry, connections: Mutex::default() }
    }

    /// Adds a connection that waits for data. Closes the connection if it cannot be registered.
    pub(super) fn insert(&self, mut connection: Connection) {
        connection.mark_idle();
        // The map is locked before the connection is registered. Otherwise the poll loop could look for the
        // connection before it is in the map. The connection could also be closed and its file descriptor be
        // reused between the two steps.
        let mut connections = lock(&self.connections);
        if connection.register(&self.registry).is_ok() {
            connections.insert(connection.token(), connection);
        }
    }

    /// Removes and returns the connections that have data to read.
    pub(super) fn take_readable(&self, events: &Events) -> Vec<Connection> {
        let mut connections = lock(&self.connections);
        // A connection that is not in the map is in use by a thread, which registers it again afterwards.
        events.iter().filter_map(|event| connections.remove(&event.token())).collect()
    }

    /// Closes the connections that have been idle for too long, or whose request takes too long to arrive.
    pub(super) fn close_timed_out(&self, now: Steady) {
        lock(&self.connections).retain(|_, connection| !connection.has_timed_out(now));
    }
}
