//! Tests of the server's limits over TCP.

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

/// Starts a server that closes a connection if no complete headers arrive within 100 ms.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, started) = channel();
    thread::spawn(move || {
        let mut reactor = Reactor::new().expect("an event loop");
        let limits =
            ServerLimits { max_connections: MAX_CONNECTIONS, header_timeout_ms: 100, max_header_bytes: 16 * 1024 };
        let handler = Rc::new(|_| Box::pin(async { Response::new(Full::new(Bytes::from("response"))) }) as _);
        let listener = Listener::new(listener).expect("a registered listener");
        spawn(serve(listener, limits, Rc::new(ServerControl::default()), handler));
        sender.send(()).expect("the test waits");
        reactor.run().expect("the event loop runs");
    });
    started.recv().expect("the server started");
    address
}

fn get(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}

#[test]
fn connections_without_complete_headers_are_closed_after_the_timeout() {
    let address = start_server();
    let mut silent: Vec<TcpStream> =
        (0..MAX_CONNECTIONS * 2).map(|_| TcpStream::connect(address).expect("a connection")).collect();
    let partial = silent.last_mut().expect("at least one connection");
    partial.write_all(b"GET / HTTP/1.1\r\nHo").expect("the request is sent");

    let response = get(address);

    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("response"), "{response}");
    for mut stream in silent {
        let mut rest = Vec::new();
        // Returns when the server closes the connection, with or without a response; a reset is accepted too.
        let _ = stream.read_to_end(&mut rest);
    }
}

#[test]
fn oversized_headers_are_rejected_and_later_requests_are_served() {
    let address = start_server();
    let mut stream = TcpStream::connect(address).expect("a connection");
    let head = format!("GET / HTTP/1.1\r\nHost: h\r\nX-Large: {}\r\n\r\n", "x".repeat(64 * 1024));
    // The server may close while the head is still being sent.
    let _ = stream.write_all(head.as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);

    assert!(!String::from_utf8_lossy(&response).starts_with("HTTP/1.1 200"));
    assert!(get(address).ends_with("response"));
}
