//! The loopback addresses of controllers and links.

use std::net::{Ipv4Addr, SocketAddr};

/// Port on which controllers hear users and workers.
const USERS_PORT: u16 = 8080;
/// Port on which controllers hear each other.
const INTERNAL_PORT: u16 = 8081;

/// The addresses of one test, apart from those of tests that run at once.
pub struct Addresses {
    network: u8,
    group: u8,
}

impl Addresses {
    /// The addresses of a group of this process.
    pub fn new(group: u8) -> Addresses {
        Addresses { network: (std::process::id() % 200 + 20) as u8, group }
    }

    fn host(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.network, self.group, host as u8), port))
    }

    /// Where a controller hears users and workers.
    pub fn users(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(cell * 10 + controller + 1, USERS_PORT)
    }

    /// Where a controller hears other controllers.
    pub fn internal(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(cell * 10 + controller + 1, INTERNAL_PORT)
    }

    /// Where a controller reaches its cell's state store.
    pub fn state_store(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(200 + cell * 10 + controller, INTERNAL_PORT)
    }

    /// Where a cell reaches a controller of another cell.
    pub fn link(&self, from: usize, to: usize, controller: usize) -> SocketAddr {
        self.host(100 + from * 30 + to * 10 + controller, INTERNAL_PORT)
    }
}
