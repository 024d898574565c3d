//! Closed-loop load over keep-alive connections, one thread for each.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// One keep-alive connection.
pub struct Connection {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: &str, path: &str) -> Connection {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        let request = format!("GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n").into_bytes();
        Connection { stream, request, buffer: Vec::with_capacity(4096) }
    }

    /// Sends the request and reads its answer; `true` if its status is 200.
    pub fn exchange(&mut self) -> bool {
        self.stream.write_all(&self.request).expect("sent");
        self.buffer.clear();
        let mut chunk = [0; 4096];
        loop {
            let count = self.stream.read(&mut chunk).expect("read");
            assert!(count > 0, "the connection ended");
            self.buffer.extend_from_slice(&chunk[..count]);
            let Some(end) = find(&self.buffer, b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&self.buffer[..end]).to_lowercase();
            let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
            let length: usize = length.expect("a length").parse().expect("a number");
            if self.buffer.len() >= end + 4 + length {
                return head.starts_with("http/1.1 200");
            }
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Latencies of `count` requests on one connection, in milliseconds.
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

/// Requests per second over `connections` connections during `period`.
pub fn throughput(address: &str, path: &str, connections: usize, period: Duration) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let barrier = Arc::new(Barrier::new(connections + 1));
    let mut threads = Vec::new();
    for _ in 0..connections {
        let (done, stop, barrier) = (done.clone(), stop.clone(), barrier.clone());
        let mut connection = Connection::open(address, path);
        threads.push(thread::spawn(move || {
            barrier.wait();
            while !stop.load(Ordering::Relaxed) {
                if connection.exchange() {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    barrier.wait();
    let started = Instant::now();
    thread::sleep(period);
    let count = done.load(Ordering::Relaxed);
    let elapsed = started.elapsed();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("ended");
    }
    count as f64 / elapsed.as_secs_f64()
}
