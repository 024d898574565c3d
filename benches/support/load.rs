//! Closed-loop load: each keep-alive connection sends its next request when the last one has been answered.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use mio::{Events, Interest, Poll, Token};

/// A keep-alive connection that sends the same request each time.
pub struct Connection {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: &str, path: &str) -> Connection {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        let request = format!("GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n").into_bytes();
        Connection { stream, request, buffer: Vec::with_capacity(4096) }
    }

    /// Sends the request and reads the answer; returns whether its status is 200.
    pub fn exchange(&mut self) -> bool {
        self.stream.write_all(&self.request).expect("the request is sent");
        self.buffer.clear();
        let mut chunk = [0; 4096];
        loop {
            let count = self.stream.read(&mut chunk).expect("the answer is read");
            assert!(count > 0, "the connection closed before the answer was complete");
            self.buffer.extend_from_slice(&chunk[..count]);
            if let Some(ok) = complete_answer_status_ok(&self.buffer) {
                return ok;
            }
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Latencies of `count` requests on one connection, in milliseconds, after a warm-up of a tenth as many.
pub fn latencies_ms(address: &str, path: &str, count: usize) -> Vec<f64> {
    let mut connection = Connection::open(address, path);
    for _ in 0..count / 10 {
        connection.exchange();
    }
    let mut latencies = Vec::with_capacity(count);
    for _ in 0..count {
        let started = Instant::now();
        assert!(connection.exchange());
        latencies.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    latencies
}

/// Threads that share all connections; few, so that generating the load takes little processor time.
const THREADS: usize = 2;

/// Answers per second over `connections` connections during `period`.
pub fn throughput(address: &str, path: &str, connections: usize, period: Duration) -> f64 {
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let opened: Vec<Connection> = (0..connections / THREADS).map(|_| Connection::open(address, path)).collect();
            thread::spawn(move || send_load(opened, period))
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().expect("the thread ends")).sum()
}

/// Keeps one request in flight on each connection; returns answers per second.
fn send_load(connections: Vec<Connection>, period: Duration) -> f64 {
    let mut poll = Poll::new().expect("a poll instance");
    let mut events = Events::with_capacity(connections.len());
    let mut polled: Vec<PolledConnection> = Vec::new();
    for (index, connection) in connections.into_iter().enumerate() {
        connection.stream.set_nonblocking(true).expect("non-blocking");
        let mut stream = mio::net::TcpStream::from_std(connection.stream);
        poll.registry().register(&mut stream, Token(index), Interest::READABLE).expect("registered");
        stream.write_all(&connection.request).expect("the request is sent");
        polled.push(PolledConnection { stream, request: connection.request, buffer: connection.buffer });
    }
    let started = Instant::now();
    let mut answer_count = 0_u64;
    while started.elapsed() < period {
        poll.poll(&mut events, Some(period)).expect("the poll returns");
        for event in &events {
            answer_count += u64::from(polled[event.token().0].advance());
        }
    }
    answer_count as f64 / started.elapsed().as_secs_f64()
}

/// A non-blocking [`Connection`].
struct PolledConnection {
    stream: mio::net::TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl PolledConnection {
    /// Reads what has arrived; after a complete answer, sends the next request and returns `true`.
    fn advance(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let mut answered = false;
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => panic!("the connection closed before the answer was complete"),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return answered,
                Err(error) => panic!("{error}"),
            }
            if let Some(ok) = complete_answer_status_ok(&self.buffer) {
                assert!(ok, "{}", String::from_utf8_lossy(&self.buffer));
                self.buffer.clear();
                self.stream.write_all(&self.request).expect("the request is sent");
                answered = true;
            }
        }
    }
}

/// Returns whether the answer has status 200, or `None` while it is incomplete.
fn complete_answer_status_ok(buffer: &[u8]) -> Option<bool> {
    const LENGTH: &[u8] = b"content-length: ";
    let head_end = find(buffer, b"\r\n\r\n")?;
    let start = find(buffer, LENGTH).expect("a content-length header") + LENGTH.len();
    let digits = buffer[start..].iter().take_while(|byte| byte.is_ascii_digit());
    let length = digits.fold(0, |length, digit| length * 10 + usize::from(digit - b'0'));
    (buffer.len() >= head_end + 4 + length).then(|| buffer.starts_with(b"HTTP/1.1 200"))
}
