//! Endpoints that do what a test tells them, and record what reached them.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// What to do with a request that arrived whole.
#[derive(Debug, Clone)]
pub enum Script {
    /// Answer with the request's own body.
    Echo,
    /// Send these bytes and keep the connection.
    Raw(String),
    /// Send these bytes and close the connection.
    RawThenClose(String),
    /// Send these bytes and nothing more, and keep the connection.
    RawThenSilence(String),
    /// Close the connection without an answer.
    Close,
    /// Wait for [`ScriptedEndpoint::release`], and then echo.
    Hold,
    /// Never answer, and keep the connection.
    Silence,
}

#[derive(Debug, Clone)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<String> {
        for line in self.head.lines().skip(1) {
            let Some((known, value)) = line.split_once(':') else { continue };
            if known.eq_ignore_ascii_case(name) {
                return Some(value.trim().to_owned());
            }
        }
        None
    }
}

#[derive(Default)]
struct Shared {
    seen: Mutex<Vec<Seen>>,
    script: Mutex<Option<Script>>,
    released: Mutex<bool>,
    release: Condvar,
}

/// See the module.
pub struct ScriptedEndpoint {
    pub address: String,
    shared: Arc<Shared>,
}

impl ScriptedEndpoint {
    pub fn start(script: Script) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let shared = Arc::new(Shared { script: Mutex::new(Some(script)), ..Shared::default() });
        let served = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = served.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        ScriptedEndpoint { address, shared }
    }

    pub fn set(&self, script: Script) {
        *self.shared.script.lock().expect("lock") = Some(script);
    }

    /// Requests that arrived whole.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().expect("lock").clone()
    }

    /// Lets held requests go on.
    pub fn release(&self) {
        *self.shared.released.lock().expect("lock") = true;
        self.shared.release.notify_all();
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    while let Some(request) = read_request(&mut stream) {
        shared.seen.lock().expect("lock").push(request.clone());
        let script = shared.script.lock().expect("lock").clone().expect("a script");
        let echo = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nSardineseam-Request-Id: {}\r\n\r\n",
            request.body.len(),
            request.header("sardineseam-request-id").unwrap_or_default()
        );
        let echo = [echo.into_bytes(), request.body].concat();
        let (bytes, keep) = match script {
            Script::Echo => (echo, true),
            Script::Raw(text) | Script::RawThenSilence(text) => (text.into_bytes(), true),
            Script::RawThenClose(text) => (text.into_bytes(), false),
            Script::Close => (Vec::new(), false),
            Script::Hold => {
                let mut released = shared.released.lock().expect("lock");
                while !*released {
                    released = shared.release.wait(released).expect("lock");
                }
                (echo, true)
            }
            Script::Silence => continue,
        };
        if stream.write_all(&bytes).is_err() || !keep {
            return;
        }
    }
}

/// Reads one request; `None` if the connection ends before it is whole.
fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut seen = Seen { head: String::from_utf8_lossy(&head).into_owned(), body: Vec::new() };
    let length = seen.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    seen.body = vec![0; length];
    stream.read_exact(&mut seen.body).ok()?;
    Some(seen)
}
