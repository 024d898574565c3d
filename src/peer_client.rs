//! Client for calls to other daemons. Each peer has one HTTP/2 connection, which is replaced after a failed call.

#[cfg(test)]
mod peer_client_tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::select;
use h2::client::SendRequest;
use h2::RecvStream;
use hyper::Request;

use crate::endpoint_client::timeout_at;
use crate::peer_message::{decode, encode, MessageError, PeerReply, PeerRequest, MAX_MESSAGE_BYTES};
use crate::reactor::{connect, spawn};

const CALL_TIMEOUT_MS: u64 = 1_000;
const FLOW_CONTROL_WINDOW_BYTES: u32 = 1 << 20;

/// Why an exchange of messages with a peer failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    #[error("timed out")]
    Timeout,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    H2(#[from] h2::Error),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("the message is larger than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
}

/// A connection to a peer. Calls in progress hold clones of it.
#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    /// The connection closes when the last clone is dropped, so that calls in progress can complete.
    close: Rc<oneshot::Sender<()>>,
}

impl Connection {
    fn is_same(&self, other: &Connection) -> bool {
        Rc::ptr_eq(&self.close, &other.close)
    }
}

/// Calls peers over connections that are kept open between calls.
#[derive(Default)]
pub(crate) struct PeerClient {
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl PeerClient {
    /// Sends a message and waits up to [`CALL_TIMEOUT_MS`] for the reply.
    pub(crate) async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        self.call_until(peer, request, Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS)).await
    }

    /// Sends a message and waits until `deadline` for the reply. After a failure, later calls do not use the same
    /// connection; calls in progress on it continue.
    pub(crate) async fn call_until(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply, PeerError> {
        let used = RefCell::default();
        let exchange = self.exchange(peer, request, &used);
        let result = timeout_at(deadline, exchange).await.unwrap_or(Err(PeerError::Timeout));
        if result.is_err() {
            self.discard(peer, used.take());
        }
        result
    }

    /// Keeps later calls from using a connection. Another one, which was opened meanwhile, stays in use.
    fn discard(&self, peer: SocketAddr, used: Option<Connection>) {
        let Some(used) = used else { return };
        let mut connections = self.connections.borrow_mut();
        if connections.get(&peer).is_some_and(|current| current.is_same(&used)) {
            connections.remove(&peer);
        }
    }

    /// Sends a message and reads the reply. Sets `used` to the connection as soon as one is chosen.
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        used: &RefCell<Option<Connection>>,
    ) -> Result<PeerReply, PeerError> {
        let message = encode(request)?;
        let Connection { mut sender, close: _close } = self.connection(peer, used).await?;
        let head = Request::post("http://peer/").body(()).unwrap_or_default();
        let (response, mut stream) = sender.send_request(head, false)?;
        stream.send_data(message.into(), true)?;
        let body = response.await?.into_body();
        Ok(decode(&read_message(body).await?)?)
    }

    /// Returns the connection to a peer. Opens a new one if there is none yet or if it has closed.
    async fn connection(&self, peer: SocketAddr, used: &RefCell<Option<Connection>>) -> Result<Connection, PeerError> {
        let cached = self.connections.borrow().get(&peer).cloned();
        if let Some(connection) = cached {
            used.replace(Some(connection.clone()));
            if let Ok(sender) = connection.sender.ready().await {
                return Ok(Connection { sender, close: connection.close });
            }
        }
        let io = connect(peer).await?;
        let (sender, driver) = h2::client::Builder::new()
            .initial_window_size(FLOW_CONTROL_WINDOW_BYTES)
            .initial_connection_window_size(FLOW_CONTROL_WINDOW_BYTES)
            .handshake(io)
            .await?;
        let (close, closed) = oneshot::channel();
        spawn(async move {
            // An error of the connection is also returned to the calls in progress.
            let _ = select(pin!(driver), pin!(closed)).await;
        });
        let connection = Connection { sender: sender.ready().await?, close: Rc::new(close) };
        used.replace(Some(connection.clone()));
        self.connections.borrow_mut().insert(peer, connection.clone());
        Ok(connection)
    }

    /// Closes the connections to all other peers, each as soon as its calls in progress have completed.
    pub(crate) fn close_all_except(&self, peers: &[SocketAddr]) {
        self.connections.borrow_mut().retain(|peer, _| peers.contains(peer));
    }

    /// Number of open connections.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }
}

/// Reads a message body of at most [`MAX_MESSAGE_BYTES`] to its end.
pub(crate) async fn read_message(mut body: RecvStream) -> Result<Vec<u8>, PeerError> {
    let mut message = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        if message.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge);
        }
        message.extend_from_slice(&chunk);
    }
    Ok(message)
}
