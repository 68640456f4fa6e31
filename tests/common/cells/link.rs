//! Network links that a test can cut: between controllers of different cells, and from a controller to its
//! state store.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A TCP proxy to one address that can be cut.
pub struct Link {
    /// Whether the link is cut. Open connections are then closed at their next byte, and new ones at once.
    pub cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a link that listens on the address `at` and forwards all connections to the address `to`.
    pub fn start(at: SocketAddr, to: SocketAddr) -> Link {
        let cut = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(at).expect("the link's address");
        let is_cut = cut.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(target) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
                    continue;
                };
                let pairs = [(&from, &target), (&target, &from)];
                for (source, sink) in pairs {
                    let (source, sink) = (source.try_clone(), sink.try_clone());
                    let is_cut = is_cut.clone();
                    if let (Ok(source), Ok(sink)) = (source, sink) {
                        std::thread::spawn(move || forward(source, sink, &is_cut));
                    }
                }
            }
        });
        Link { cut }
    }
}

/// Forwards bytes until one side closes the connection or the link is cut.
fn forward(mut source: TcpStream, mut sink: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 8192];
    while let Ok(count) = source.read(&mut bytes) {
        if count == 0 || is_cut.load(Ordering::Relaxed) || sink.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (source.shutdown(Shutdown::Both), sink.shutdown(Shutdown::Both));
}
