//! Servers whose answers are odd or slow, and an event loop that carries out one call, for tests of the clients.

use std::cell::RefCell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use super::http_client::HttpClient;
use crate::reactor::{spawn, stop, Reactor};

/// Longer than the timeout of any call without progress, and than any answer of the tests takes to arrive.
const MAX_CALL_TIME: Duration = Duration::from_secs(8);
/// Interval at which the parts of a slow body are sent or read.
pub(super) const PART_INTERVAL: Duration = Duration::from_millis(20);

/// What a server sends after the head of its answer.
#[derive(Debug, Clone)]
pub(super) enum AnswerBody {
    Whole(String),
    /// The connection is closed in the middle.
    Truncated(String),
    /// More follows until the connection is closed.
    Endless,
    /// Arrives in parts of this size every 20 ms.
    Slow {
        text: String,
        part_bytes: usize,
    },
    /// Half of it arrives at once, and nothing afterwards.
    Stalled(String),
}

/// Starts a server that answers every request; `answer` gets its target, such as `/machines?pageToken=a`.
pub(super) fn serve(answer: impl Fn(&str) -> AnswerBody + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || while answer_request(&stream, &answer).is_some() {});
        }
    });
    address
}

/// Answers one request; `None` once the connection is closed.
fn answer_request(mut stream: &TcpStream, answer: impl Fn(&str) -> AnswerBody) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let head = String::from_utf8(head).expect("UTF-8").to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).ok()?;
    let target = head.split(' ').nth(1)?.to_owned();
    match answer(&target) {
        AnswerBody::Whole(text) => {
            send_head(stream, text.len())?;
            stream.write_all(text.as_bytes()).ok()
        }
        AnswerBody::Truncated(text) => {
            send_head(stream, text.len() * 2)?;
            stream.write_all(text.as_bytes()).ok()?;
            None
        }
        AnswerBody::Endless => {
            send_head(stream, usize::MAX / 2)?;
            while stream.write_all(&[b'['; 65_536]).is_ok() {}
            None
        }
        AnswerBody::Slow { text, part_bytes } => {
            send_head(stream, text.len())?;
            for part in text.as_bytes().chunks(part_bytes) {
                stream.write_all(part).ok()?;
                thread::sleep(PART_INTERVAL);
            }
            Some(())
        }
        AnswerBody::Stalled(text) => {
            send_head(stream, text.len())?;
            stream.write_all(&text.as_bytes()[..text.len() / 2]).ok()?;
            // Returns once the client has closed the connection.
            let _ = stream.read(&mut [0]);
            None
        }
    }
}

fn send_head(mut stream: &TcpStream, length: usize) -> Option<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").ok()
}

/// Runs a call on an event loop and returns its result.
pub(super) fn run<T: 'static, F: Future<Output = T> + 'static>(call: impl FnOnce(Rc<HttpClient>) -> F) -> T {
    let mut reactor = Reactor::new().expect("an event loop");
    let result = Rc::new(RefCell::new(None));
    let call = call(Rc::new(HttpClient::new()));
    let slot = result.clone();
    let started = Instant::now();
    spawn(async move {
        *slot.borrow_mut() = Some(call.await);
        stop();
    });
    reactor.run().expect("the event loop runs");
    assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
    result.take().expect("a result")
}
