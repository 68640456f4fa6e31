//! The connections that wait for data. They cost a socket each, and no thread.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mio::{Events, Registry, Token};

use super::connection::Connection;
use super::lock;
use crate::time::Steady;

/// The connections that wait for data, by the name that the poll loop has for them.
pub(super) struct WaitingConnections {
    registry: Registry,
    connections: Mutex<BTreeMap<Token, Connection>>,
}

impl WaitingConnections {
    /// None yet; readiness is reported to the poll loop of this registry.
    pub(super) fn new(registry: Registry) -> WaitingConnections {
        WaitingConnections { registry, connections: Mutex::default() }
    }

    /// Lets a connection wait for data. If it cannot be registered it is closed.
    pub(super) fn insert(&self, mut connection: Connection) {
        connection.mark_idle();
        // Locked before it registers: the poll loop must not look for the connection before it is
        // in the map, nor may it be closed and its descriptor be reused in between.
        let mut connections = lock(&self.connections);
        if connection.register(&self.registry).is_ok() {
            connections.insert(connection.token(), connection);
        }
    }

    /// Takes the connections that have data to read.
    pub(super) fn take_readable(&self, events: &Events) -> Vec<Connection> {
        let mut connections = lock(&self.connections);
        // One that is missing is with a thread, which registers it again afterwards.
        events.iter().filter_map(|event| connections.remove(&event.token())).collect()
    }

    /// Closes the connections that have been idle, or sending a request, for too long.
    pub(super) fn close_timed_out(&self, now: Steady) {
        lock(&self.connections).retain(|_, connection| !connection.has_timed_out(now));
    }
}
