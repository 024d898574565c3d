//! Tests of the server's bounds, with real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;

use super::{serve, ServerControl, ServerLimits};
use crate::reactor::{spawn, Listener, Reactor};

const MAX_CONNECTIONS: usize = 4;

/// Starts a server that closes connections without headers after a short time.
fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (started, start) = channel();
    thread::spawn(move || {
        let mut reactor = Reactor::new().expect("an event loop");
        let limits =
            ServerLimits { max_connections: MAX_CONNECTIONS, header_timeout_ms: 100, max_header_bytes: 16 * 1024 };
        let handler = Rc::new(|_| Box::pin(async { Response::new(Full::new(Bytes::from("answer"))) }) as _);
        let listener = Listener::new(listener).expect("registered");
        spawn(serve(listener, limits, Rc::new(ServerControl::default()), handler));
        started.send(()).expect("waited for");
        reactor.run().expect("runs");
    });
    start.recv().expect("started");
    address
}

fn exchange(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read");
    answer
}

#[test]
fn silent_connections_hold_their_places_for_a_bounded_time() {
    let address = start();
    let mut silent: Vec<TcpStream> =
        (0..MAX_CONNECTIONS * 2).map(|_| TcpStream::connect(address).expect("connected")).collect();
    let half = silent.last_mut().expect("several");
    half.write_all(b"GET / HTTP/1.1\r\nHo").expect("sent");

    let answer = exchange(address);

    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("answer"), "{answer}");
    for mut stream in silent {
        let mut rest = Vec::new();
        // Closed by the server, with or without a word; a reset counts as well.
        let _ = stream.read_to_end(&mut rest);
    }
}

#[test]
fn oversized_headers_are_refused_and_the_server_goes_on() {
    let address = start();
    let mut stream = TcpStream::connect(address).expect("connected");
    let head = format!("GET / HTTP/1.1\r\nHost: h\r\nX-Large: {}\r\n\r\n", "x".repeat(64 * 1024));
    // The server may close while the head is still being sent.
    let _ = stream.write_all(head.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);

    assert!(!String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 200"));
    assert!(exchange(address).ends_with("answer"));
}
