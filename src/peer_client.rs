//! Calls to other daemons: one h2 connection to each, kept while it answers in time.

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
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    #[error("no answer in time")]
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

#[derive(Clone)]
struct Link {
    sender: SendRequest<Bytes>,
    /// The connection closes when the last clone is dropped, so that calls in progress can end.
    _open: Rc<oneshot::Sender<()>>,
}

/// Connections to peers.
#[derive(Default)]
pub(crate) struct PeerClient {
    links: RefCell<HashMap<SocketAddr, Link>>,
}

impl PeerClient {
    /// Sends one message and waits for the answer for a short time.
    pub(crate) async fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        self.call_until(peer, request, Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS)).await
    }

    /// Sends one message and waits for the answer until `deadline`. After a failure, later calls use a new
    /// connection; calls in progress on the old one go on.
    pub(crate) async fn call_until(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply, PeerError> {
        let result = timeout_at(deadline, self.exchange(peer, request)).await.unwrap_or(Err(PeerError::Timeout));
        if result.is_err() {
            self.links.borrow_mut().remove(&peer);
        }
        result
    }

    async fn exchange(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        let message = encode(request)?;
        let Link { mut sender, _open } = self.link(peer).await?;
        let head = Request::post("http://peer/").body(()).unwrap_or_default();
        let (answer, mut stream) = sender.send_request(head, false)?;
        stream.send_data(message.into(), true)?;
        let body = answer.await?.into_body();
        Ok(decode(&read_message(body).await?)?)
    }

    /// The link to a peer, made anew if it has ended.
    async fn link(&self, peer: SocketAddr) -> Result<Link, PeerError> {
        let known = self.links.borrow().get(&peer).cloned();
        if let Some(Link { sender, _open }) = known {
            if let Ok(sender) = sender.ready().await {
                return Ok(Link { sender, _open });
            }
        }
        let io = connect(peer).await?;
        let (sender, driver) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(io)
            .await?;
        let (open, closed) = oneshot::channel();
        spawn(async move {
            // Errors reach the calls in progress.
            let _ = select(pin!(driver), pin!(closed)).await;
        });
        let link = Link { sender: sender.ready().await?, _open: Rc::new(open) };
        self.links.borrow_mut().insert(peer, link.clone());
        Ok(link)
    }

    /// Closes connections to daemons that are no longer called, when their calls have ended.
    pub(crate) fn keep_only(&self, peers: &[SocketAddr]) {
        self.links.borrow_mut().retain(|peer, _| peers.contains(peer));
    }

    /// Open connections.
    pub(crate) fn link_count(&self) -> usize {
        self.links.borrow().len()
    }
}

/// Reads a whole message.
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
