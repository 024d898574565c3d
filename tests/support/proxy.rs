//! A loopback proxy that passes, silences or resets what goes through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// What happens to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Bytes are kept back, in both directions.
    Silent,
    /// Connections end.
    Cut,
}

#[derive(Default)]
struct Gate {
    mode: AtomicU8,
    lock: Mutex<()>,
    changed: Condvar,
}

/// See the module.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    gate: Arc<Gate>,
}

impl Proxy {
    /// Passes connections on to `upstream`.
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), gate: Arc::default() };
        let gate = proxy.gate.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if gate.mode() == Mode::Cut {
                    continue;
                }
                let Ok(far) = TcpStream::connect(upstream) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone().expect("a socket"), to.try_clone().expect("a socket"));
                    let gate = gate.clone();
                    thread::spawn(move || pass(from, to, &gate));
                }
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        let _held = self.gate.lock.lock().expect("lock");
        self.gate.mode.store(mode as u8, Ordering::SeqCst);
        self.gate.changed.notify_all();
    }
}

impl Gate {
    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::SeqCst) {
            0 => Mode::Pass,
            1 => Mode::Silent,
            _ => Mode::Cut,
        }
    }

    /// Waits while bytes are kept back; whether they may go on.
    fn opens(&self) -> bool {
        let mut held = self.lock.lock().expect("lock");
        while self.mode() == Mode::Silent {
            held = self.changed.wait(held).expect("lock");
        }
        self.mode() == Mode::Pass
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, gate: &Gate) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if !gate.opens() || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
