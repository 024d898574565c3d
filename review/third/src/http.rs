//! A small HTTP/1.1 server and client on blocking sockets.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// A request as a stand-in receives it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Value,
}

impl Request {
    /// A parameter of the query; empty if it is missing.
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

/// Status and body; `None` if the request gets no response, and the connection is closed.
pub type Response = Option<(u16, Value)>;

/// Serves the requests of one connection, one after the other.
pub fn serve_connection(mut stream: TcpStream, handler: impl Fn(&Request) -> Response) {
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream) {
        let Some((status, body)) = handler(&request) else { return };
        let body = body.to_string();
        let head =
            format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(stream: &mut impl Read) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn parse_headers(head: &str) -> HashMap<String, String> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect()
}

fn read_body(stream: &mut impl Read, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(stream: &mut impl Read) -> Option<Request> {
    let head = read_head(stream)?;
    let headers = parse_headers(&head);
    let body = read_body(stream, &headers)?;
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Decodes percent signs.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request over a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let head = read_head(&mut stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut stream, &parse_headers(&head))?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
