//! HTTP of the stand-in's services: reads requests and delivers answers, whole or not.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;

use percent_encoding::percent_decode_str;
use serde_json::Value;

use super::worker::Response;

#[derive(Clone)]
pub(super) struct Request {
    /// ID of the worker that the request is for.
    pub(super) expected_instance: Option<String>,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) query: HashMap<String, String>,
    pub(super) body: Value,
    pub(super) body_bytes: usize,
}

impl Request {
    /// A number in the query; 0 if there is none.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// How an answer is delivered.
pub(super) enum Delivery {
    Whole(u16, Value),
    /// One half of it. The connection stays open until the client closes it.
    Stalled(u16, Value),
    /// Not at all: the connection is closed.
    None,
}

impl From<Response> for Delivery {
    fn from(response: Response) -> Delivery {
        response.map_or(Delivery::None, |(status, body)| Delivery::Whole(status, body))
    }
}

/// Serves requests until one gets no whole response.
pub(super) fn serve_connection(stream: &TcpStream, handler: impl Fn(&Request) -> Delivery) {
    let mut stream = stream;
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream) {
        match handler(&request) {
            Delivery::None => return,
            Delivery::Stalled(status, body) => {
                let response = encode_response(status, &body);
                let _ = stream.write_all(&response[..response.len() / 2]);
                // Returns once the client has closed the connection.
                let _ = stream.read(&mut [0]);
                return;
            }
            Delivery::Whole(status, body) => {
                if stream.write_all(&encode_response(status, &body)).is_err() {
                    return;
                }
            }
        }
    }
}

fn encode_response(status: u16, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let length = body.len();
    format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn read_request(stream: &mut impl Read) -> Option<Request> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let header = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
    };
    let length = header("content-length").and_then(|length| length.parse().ok());
    let expected_instance = header("x-expect-instance");
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    let body_bytes = body.len();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { expected_instance, method, path: path.to_owned(), query, body, body_bytes })
}
