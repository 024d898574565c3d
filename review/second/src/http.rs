//! Small HTTP/1.1 server and client on blocking sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, Value)>;

/// Open connections of a server, which a crash closes.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

pub fn close_all(connections: &Connections) {
    for connection in connections.lock().expect("lock").drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Serves requests. `admits` tells whether new connections are accepted now.
pub fn serve(
    listener: TcpListener,
    connections: Connections,
    admits: impl Fn() -> bool + Send + 'static,
    handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !admits() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            connections.lock().expect("lock").extend(stream.try_clone());
            let handler = handler.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some(request) = read_request(&mut stream) {
                    let Some((status, body)) = handler(&request) else { break };
                    let body = body.to_string();
                    let head = format!(
                        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn headers_of(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

fn body_of(stream: &mut TcpStream, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let head = read_head(stream)?;
    let headers = headers_of(&head);
    let body = body_of(stream, &headers)?;
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let hex = text.get(position + 1..position + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[position], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                position += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let head = read_head(&mut stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = body_of(&mut stream, &headers_of(&head))?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
