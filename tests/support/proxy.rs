//! A TCP proxy on loopback that forwards connections, holds their bytes back or closes them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Bytes that may wait in the proxy's sockets for the link. They count as sent for the client.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// What the proxy does with its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Forward,
    /// Keeps connections open, but holds back the bytes of both directions until the mode changes.
    Stall,
    /// Closes new connections at once, and an open one when it next carries bytes.
    Disconnect,
}

/// One direction of a link, whose bandwidth its connections share.
#[derive(Default)]
struct LinkDirection {
    /// 0 for no limit.
    bytes_per_s: AtomicU64,
    /// When the link has carried what was sent so far.
    is_free_at: Mutex<Option<Instant>>,
}

impl LinkDirection {
    /// Waits until the link has carried these bytes, after those of other connections.
    fn carry(&self, bytes: usize) {
        let bytes_per_s = self.bytes_per_s.load(Ordering::SeqCst);
        if bytes_per_s == 0 {
            return;
        }
        let carried_at = {
            let now = Instant::now();
            let mut is_free_at = self.is_free_at.lock().expect("lock");
            let starts_at = is_free_at.map_or(now, |at| at.max(now));
            let carried_at = starts_at + Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
            *is_free_at = Some(carried_at);
            carried_at
        };
        thread::sleep(carried_at.saturating_duration_since(Instant::now()));
    }
}

#[derive(Default)]
struct SharedMode {
    mode: AtomicU8,
    lock: Mutex<()>,
    changed: Condvar,
    /// From the client to the server, and back.
    link: [LinkDirection; 2],
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
        // Accepted sockets have the same limit.
        set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES).expect("a limit");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), shared: Arc::default() };
        let shared = proxy.shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.mode() == Mode::Disconnect {
                    continue;
                }
                let Ok(server) = TcpStream::connect(upstream) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                for (direction, (from, to)) in [(&client, &server), (&server, &client)].into_iter().enumerate() {
                    let (from, to) = (from.try_clone().expect("a socket"), to.try_clone().expect("a socket"));
                    let shared = shared.clone();
                    thread::spawn(move || forward(from, to, &shared, direction));
                }
            }
        });
        proxy
    }

    /// Limits the bandwidth of the link, in each direction; 0 for no limit.
    pub fn limit_bandwidth(&self, bytes_per_s: u64) {
        for direction in &self.shared.link {
            direction.bytes_per_s.store(bytes_per_s, Ordering::SeqCst);
        }
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
fn forward(mut from: TcpStream, mut to: TcpStream, shared: &SharedMode, direction: usize) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        shared.link[direction].carry(count);
        if !shared.wait_until_forwarding() || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
