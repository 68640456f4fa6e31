//! A link between two processes that can be interrupted: what is sent meanwhile is held back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Link {
    pub address: SocketAddr,
    interrupted: AtomicBool,
}

impl Link {
    pub fn start(target: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Arc::new(Link { address, interrupted: AtomicBool::new(false) });
        let accepting = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = accepting.clone();
                std::thread::spawn(move || {
                    link.wait();
                    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                        return;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
                    let back = link.clone();
                    std::thread::spawn(move || back.pump(server, client));
                    link.pump(from, to);
                });
            }
        });
        link
    }

    /// Interrupts the link, or ends the interruption: what was held back is then delivered.
    pub fn interrupt(&self, interrupted: bool) {
        self.interrupted.store(interrupted, Ordering::Relaxed);
    }

    fn wait(&self) {
        while self.interrupted.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0u8; 16384];
        while let Ok(count) = from.read(&mut chunk) {
            self.wait();
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
    }
}
