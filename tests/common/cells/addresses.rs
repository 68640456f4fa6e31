//! The loopback addresses of the controllers and links of a test.

use std::net::{Ipv4Addr, SocketAddr};

/// The port on which controllers serve users and workers.
const USERS_PORT: u16 = 8080;
/// The port on which controllers serve other controllers. Links listen on it too.
const INTERNAL_PORT: u16 = 8081;

/// The addresses of one test. They differ from those of other tests that run at the same time.
pub struct Addresses {
    network: u8,
    group: u8,
}

impl Addresses {
    /// Creates the addresses of a test. `group` must differ between the tests of a process. Processes
    /// are distinguished by their id modulo 200.
    pub fn new(group: u8) -> Addresses {
        Addresses { network: (std::process::id() % 200 + 20) as u8, group }
    }

    fn host(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.network, self.group, host as u8), port))
    }

    /// The address on which a controller serves users and workers.
    pub fn users(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(cell * 10 + controller + 1, USERS_PORT)
    }

    /// The address on which a controller serves other controllers.
    pub fn internal(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(cell * 10 + controller + 1, INTERNAL_PORT)
    }

    /// The address of the link through which a controller reaches its cell's state store.
    pub fn state_store(&self, cell: usize, controller: usize) -> SocketAddr {
        self.host(200 + cell * 10 + controller, INTERNAL_PORT)
    }

    /// The address of the link through which a cell reaches a controller of another cell.
    pub fn link(&self, from: usize, to: usize, controller: usize) -> SocketAddr {
        self.host(100 + from * 30 + to * 10 + controller, INTERNAL_PORT)
    }
}
