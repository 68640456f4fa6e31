//! A TCP link that can be cut: while it is cut, open connections carry nothing and new ones get no answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: Arc<AtomicBool>) {
    let mut chunk = [0u8; 16 * 1024];
    while let Ok(count) = from.read(&mut chunk) {
        while cut.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

impl Link {
    pub fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let flag = cut.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if flag.load(Ordering::Relaxed) {
                    // A connection attempt during the cut is never completed: it is kept without an answer.
                    std::thread::spawn(move || {
                        let mut sink = [0u8; 4096];
                        let mut stream = stream;
                        while matches!(stream.read(&mut sink), Ok(count) if count > 0) {}
                    });
                    continue;
                }
                let Ok(other) = TcpStream::connect(target) else { continue };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                let (Ok(back), Ok(forth)) = (stream.try_clone(), other.try_clone()) else { continue };
                let (first, second) = (flag.clone(), flag.clone());
                std::thread::spawn(move || copy(stream, forth, first));
                std::thread::spawn(move || copy(other, back, second));
            }
        });
        Link { address, cut }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}
