//! Tests of sockets on the event loop.

use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{connect, spawn, stop, Reactor, TcpIo};
use crate::endpoint_client::timeout_at;

/// A reader that is not woken by then will never be.
const NEVER_WOKEN_AFTER: Duration = Duration::from_secs(10);

/// Listens on a loopback address; a thread of its own serves the only connection.
fn serve_once(serve: impl FnOnce(std::net::TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address");
    thread::spawn(move || serve(listener.accept().expect("a connection").0));
    address
}

/// Reads once into a buffer that is larger than what the other side sends; `None` if nothing ever arrives.
async fn read_some(io: &mut TcpIo) -> Option<Vec<u8>> {
    let mut storage = [0; 64];
    let mut buffer = ReadBuf::new(&mut storage);
    let read = poll_fn(|cx| Pin::new(&mut *io).poll_read(cx, &mut buffer));
    timeout_at(Instant::now() + NEVER_WOKEN_AFTER, read).await?.expect("the read succeeds");
    Some(buffer.filled().to_vec())
}

async fn write_all(io: &mut TcpIo, bytes: &[u8]) {
    let written = poll_fn(|cx| Pin::new(&mut *io).poll_write(cx, bytes)).await.expect("the write succeeds");
    assert_eq!(written, bytes.len());
}

/// Runs a client on an event loop of its own and returns what it has read.
fn run_client<F>(client: impl FnOnce(Sender<Option<Vec<u8>>>) -> F) -> Vec<Option<Vec<u8>>>
where
    F: std::future::Future<Output = ()> + 'static,
{
    let mut reactor = Reactor::new().expect("an event loop");
    let (results, read) = channel();
    let client = client(results);
    spawn(async move {
        client.await;
        stop();
    });
    reactor.run().expect("the event loop runs");
    read.iter().collect()
}

#[test]
fn end_of_a_connection_that_arrived_with_its_last_bytes_is_noticed() {
    let (closed, is_closed): (Sender<()>, Receiver<()>) = channel();
    let address = serve_once(move |mut stream| {
        stream.write_all(b"last").expect("the bytes are sent");
        drop(stream);
        closed.send(()).expect("the client waits");
    });

    let read = run_client(|results| async move {
        let mut io = connect(address).await.expect("a connection");
        is_closed.recv().expect("the server has closed the connection");
        for _ in 0..2 {
            results.send(read_some(&mut io).await).expect("the test waits");
        }
    });

    assert_eq!(read, [Some(b"last".to_vec()), Some(Vec::new())]);
}

#[test]
fn bytes_that_arrive_after_a_short_read_wake_the_reader() {
    let address = serve_once(|mut stream| {
        let mut request = [0; 1];
        for answer in [b"one", b"two"] {
            stream.read_exact(&mut request).expect("a request");
            stream.write_all(answer).expect("the bytes are sent");
        }
        // Holds the connection open until the client closes it.
        let _ = stream.read(&mut request);
    });

    let read = run_client(|results| async move {
        let mut io = connect(address).await.expect("a connection");
        for _ in 0..2 {
            write_all(&mut io, b"?").await;
            results.send(read_some(&mut io).await).expect("the test waits");
        }
    });

    assert_eq!(read, [Some(b"one".to_vec()), Some(b"two".to_vec())]);
}
