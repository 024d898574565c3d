//! HTTP endpoints whose behaviour a test scripts, and which record the requests that they receive.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// What an endpoint does with each request that arrived complete.
#[derive(Debug, Clone)]
pub enum Script {
    /// Answer with the body of the request.
    Echo,
    /// Send these bytes and keep_open the connection open.
    Raw(String),
    /// Send these bytes and close the connection.
    RawThenClose(String),
    /// Send these bytes, which are only a part of an answer, and keep_open the connection open.
    RawThenSilence(String),
    /// Close the connection without an answer.
    Close,
    /// Wait for [`ScriptedEndpoint::release`], then answer as [`Script::Echo`] does.
    Hold,
    /// Never answer, but keep_open the connection open.
    Silence,
}

/// A request as it arrived.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        for line in self.head.lines().skip(1) {
            let Some((field, value)) = line.split_once(':') else { continue };
            if field.eq_ignore_ascii_case(name) {
                return Some(value.trim().to_owned());
            }
        }
        None
    }
}

#[derive(Default)]
struct State {
    received: Mutex<Vec<ReceivedRequest>>,
    script: Mutex<Option<Script>>,
    released: Mutex<bool>,
    release_signal: Condvar,
}

/// An endpoint on loopback, served by threads of its own until the test program ends.
pub struct ScriptedEndpoint {
    pub address: String,
    state: Arc<State>,
}

impl ScriptedEndpoint {
    pub fn start(script: Script) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(State { script: Mutex::new(Some(script)), ..State::default() });
        let server_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = server_state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        ScriptedEndpoint { address, state }
    }

    /// Sets the behaviour for the requests that arrive from now on.
    pub fn set_script(&self, script: Script) {
        *self.state.script.lock().expect("lock") = Some(script);
    }

    /// Requests that arrived complete, in the order of their arrival.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().expect("lock").clone()
    }

    /// Answers the requests that [`Script::Hold`] holds, and those that it would hold from now on.
    pub fn release(&self) {
        *self.state.released.lock().expect("lock") = true;
        self.state.release_signal.notify_all();
    }
}

fn serve(mut stream: TcpStream, state: &State) {
    while let Some(request) = read_request(&mut stream) {
        state.received.lock().expect("lock").push(request.clone());
        let script = state.script.lock().expect("lock").clone().expect("a script");
        let echo = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nSardineseam-Request-Id: {}\r\n\r\n",
            request.body.len(),
            request.header("sardineseam-request-id").unwrap_or_default()
        );
        let echo = [echo.into_bytes(), request.body].concat();
        let (bytes, keep_open) = match script {
            Script::Echo => (echo, true),
            Script::Raw(text) | Script::RawThenSilence(text) => (text.into_bytes(), true),
            Script::RawThenClose(text) => (text.into_bytes(), false),
            Script::Close => (Vec::new(), false),
            Script::Hold => {
                let mut released = state.released.lock().expect("lock");
                while !*released {
                    released = state.release_signal.wait(released).expect("lock");
                }
                (echo, true)
            }
            Script::Silence => continue,
        };
        if stream.write_all(&bytes).is_err() || !keep_open {
            return;
        }
    }
}

/// Reads one request; `None` if the connection ends before the request is complete.
fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut request = ReceivedRequest { head: String::from_utf8_lossy(&head).into_owned(), body: Vec::new() };
    let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).ok()?;
    Some(request)
}
