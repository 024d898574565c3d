//! A TCP proxy on loopback that forwards connections, holds their bytes back or closes them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// What the proxy does with its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Forward,
    /// Keeps connections open, but holds back the bytes of both directions until the mode changes.
    Stall,
    /// Closes new connections at once, and an open one when it next carries bytes.
    Disconnect,
}

#[derive(Default)]
struct SharedMode {
    mode: AtomicU8,
    lock: Mutex<()>,
    changed: Condvar,
}

/// Runs on threads of its own until the test program ends.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<SharedMode>,
}

impl Proxy {
    /// Starts to forward connections to `upstream`.
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), shared: Arc::default() };
        let shared = proxy.shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.mode() == Mode::Disconnect {
                    continue;
                }
                let Ok(server) = TcpStream::connect(upstream) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) = (from.try_clone().expect("a socket"), to.try_clone().expect("a socket"));
                    let shared = shared.clone();
                    thread::spawn(move || forward(from, to, &shared));
                }
            }
        });
        proxy
    }

    pub fn set_mode(&self, mode: Mode) {
        let _guard = self.shared.lock.lock().expect("lock");
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }
}

impl SharedMode {
    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::SeqCst) {
            0 => Mode::Forward,
            1 => Mode::Stall,
            _ => Mode::Disconnect,
        }
    }

    /// Waits while the mode is [`Mode::Stall`]; returns whether bytes may then be forwarded.
    fn wait_until_forwarding(&self) -> bool {
        let mut guard = self.lock.lock().expect("lock");
        while self.mode() == Mode::Stall {
            guard = self.changed.wait(guard).expect("lock");
        }
        self.mode() == Mode::Forward
    }
}

/// Forwards the bytes of one direction until either side closes or the mode is [`Mode::Disconnect`].
fn forward(mut from: TcpStream, mut to: TcpStream, shared: &SharedMode) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if !shared.wait_until_forwarding() || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
