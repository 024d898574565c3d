//! Minimal HTTP/1.1 on threads: a server, a client, and messages with `Content-Length` bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as received. `head` is the text up to the empty line.
pub struct Request {
    pub head: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.head, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

fn find_header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Reads a head and a body; `None` at the end of the connection.
fn read_message(stream: &mut impl Read, rest: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(position) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let length: usize = find_header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < head_end + length {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&chunk[..count]);
    }
    let body = rest[head_end..head_end + length].to_vec();
    rest.drain(..head_end + length);
    Some((head, body))
}

/// Serves connections on threads of their own until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut rest) {
        let mut words = head.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let Reply::Answer(status, body) = handler(&Request { head, method, target, body }) else { return };
        let head =
            format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut message = head.into_bytes();
        message.extend_from_slice(&body);
        if stream.write_all(&message).is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection. `None` if no complete answer arrives within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(timeout)));
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Type: application/json\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body))
}
