//! Non-blocking TCP sockets on the event loop, with the I/O traits that hyper and h2 require.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll, Waker};
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use stakker::Fwd;
use stakker_mio::{MioSource, Ready};

use super::current_handle;

/// Priority of sockets, below that of wake-ups from other threads.
const IO_PRIORITY: u32 = 5;
/// Maximum number of bytes that hyper reads from a connection at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

thread_local! {
    /// Buffer reused by all reads for hyper. In safe code, hyper's cursor can only be filled by copying, and a new
    /// buffer would have to be zeroed for each read.
    static READ_CHUNK: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_CHUNK_BYTES].into());
}

/// What is known of a socket's state, and wakers of the futures that wait for it to become readable or writable.
#[derive(Debug, Default)]
struct SocketWakers {
    read: RefCell<Option<Waker>>,
    write: RefCell<Option<Waker>>,
    /// Whether a read may return something. A read that does not fill its buffer has emptied the socket, and whatever
    /// arrives afterwards is a new event, so that another read would be wasted.
    may_read: Cell<bool>,
    /// Whether the peer has closed its side or the socket has failed, after which there may be no further event.
    is_read_closed: Cell<bool>,
}

impl SocketWakers {
    fn notify(&self, ready: Ready) {
        let failed = ready.is_error();
        if ready.is_readable() || ready.is_read_closed() || failed {
            self.may_read.set(true);
            wake(&self.read);
        }
        if ready.is_read_closed() || failed {
            self.is_read_closed.set(true);
        }
        if ready.is_writable() || ready.is_write_closed() || failed {
            wake(&self.write);
        }
    }
}

fn wake(slot: &RefCell<Option<Waker>>) {
    let waker = slot.borrow_mut().take();
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// Runs a non-blocking operation; if it would block, stores the current task's waker in `slot`.
fn poll_io<T>(
    cx: &TaskContext<'_>,
    slot: &RefCell<Option<Waker>>,
    mut operation: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                *slot.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            result => return Poll::Ready(result),
        }
    }
}

/// Registers a socket with this thread's event loop.
fn register<S: mio::event::Source>(source: S, interest: Interest) -> io::Result<(MioSource<S>, Rc<SocketWakers>)> {
    let handle = current_handle().ok_or_else(|| io::Error::other("no event loop on this thread"))?;
    let wakers = Rc::new(SocketWakers::default());
    let notified = wakers.clone();
    let fwd = Fwd::new(move |ready| notified.notify(ready));
    let source = handle.miopoll.add(source, interest, IO_PRIORITY, fwd)?;
    Ok((source, wakers))
}

/// Listening TCP socket.
pub(crate) struct Listener {
    source: MioSource<TcpListener>,
    wakers: Rc<SocketWakers>,
}

impl Listener {
    /// Registers a bound listener with this thread's event loop.
    pub(crate) fn new(listener: std::net::TcpListener) -> io::Result<Listener> {
        listener.set_nonblocking(true)?;
        let (source, wakers) = register(TcpListener::from_std(listener), Interest::READABLE)?;
        Ok(Listener { source, wakers })
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<TcpIo> {
        let (stream, _) = poll_fn(|cx| poll_io(cx, &self.wakers.read, || self.source.accept())).await?;
        TcpIo::new(stream)
    }
}

/// Connects to `address`.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpIo> {
    let io = TcpIo::new(TcpStream::connect(address)?)?;
    let connected = |cx: &mut TaskContext<'_>| {
        poll_io(cx, &io.wakers.write, || {
            if let Some(error) = io.source.take_error()? {
                return Err(error);
            }
            match io.source.peer_addr() {
                Err(error) if error.kind() == io::ErrorKind::NotConnected => Err(io::ErrorKind::WouldBlock.into()),
                result => result.map(|_| ()),
            }
        })
    };
    poll_fn(connected).await?;
    Ok(io)
}

/// What a socket has carried so far.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    latest: Cell<Option<Instant>>,
}

impl Traffic {
    /// Number of bytes written to the socket.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Number of bytes read from the socket.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// When bytes were last written or read; `None` if there were none.
    pub(crate) fn latest(&self) -> Option<Instant> {
        self.latest.get()
    }

    fn add_sent(&self, result: &Poll<io::Result<usize>>) {
        self.add(&self.sent_bytes, result);
    }

    fn add_received(&self, result: &Poll<io::Result<usize>>) {
        self.add(&self.received_bytes, result);
    }

    fn add(&self, counter: &Cell<u64>, result: &Poll<io::Result<usize>>) {
        let Poll::Ready(Ok(count @ 1..)) = result else { return };
        counter.set(counter.get() + *count as u64);
        self.latest.set(Some(Instant::now()));
    }
}

/// Connected TCP socket.
pub(crate) struct TcpIo {
    source: MioSource<TcpStream>,
    wakers: Rc<SocketWakers>,
    traffic: Rc<Traffic>,
}

impl TcpIo {
    fn new(stream: TcpStream) -> io::Result<TcpIo> {
        // Fails only on a socket that has already failed; the first read returns that error.
        let _ = stream.set_nodelay(true);
        let (source, wakers) = register(stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok(TcpIo { source, wakers, traffic: Rc::default() })
    }

    /// Makes closing the socket reset the connection, which discards data that has not been delivered yet.
    pub(crate) fn reset_on_close(&self) -> io::Result<()> {
        Ok(rustix::net::sockopt::set_socket_linger(&*self.source, Some(Duration::ZERO))?)
    }

    /// Limits how many written bytes may wait in the socket, so that the counters tell what the network has taken.
    pub(crate) fn limit_send_buffer(&self, bytes: usize) -> io::Result<()> {
        Ok(rustix::net::sockopt::set_socket_send_buffer_size(&*self.source, bytes)?)
    }

    /// Shared counters of what the socket carries.
    pub(crate) fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }

    fn read_into(&self, cx: &TaskContext<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let wakers = &*self.wakers;
        if !wakers.may_read.get() {
            *wakers.read.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let result = poll_io(cx, &wakers.read, || (&*self.source).read(buffer));
        let is_emptied = match &result {
            Poll::Pending => true,
            Poll::Ready(Ok(count)) => *count < buffer.len() && !wakers.is_read_closed.get(),
            Poll::Ready(Err(_)) => false,
        };
        wakers.may_read.set(!is_emptied);
        self.traffic.add_received(&result);
        result
    }

    fn write_from(&self, cx: &TaskContext<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = poll_io(cx, &self.wakers.write, || (&*self.source).write(bytes));
        self.traffic.add_sent(&result);
        result
    }

    fn shut_down(&self) -> Poll<io::Result<()>> {
        match self.source.shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}

impl hyper::rt::Read for TcpIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        mut cursor: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        READ_CHUNK.with_borrow_mut(|chunk| {
            let length = cursor.remaining().min(chunk.len());
            match self.read_into(cx, &mut chunk[..length]) {
                Poll::Ready(Ok(count)) => {
                    cursor.put_slice(&chunk[..count]);
                    Poll::Ready(Ok(()))
                }
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Pending => Poll::Pending,
            }
        })
    }
}

impl hyper::rt::Write for TcpIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut TaskContext<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.write_from(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        self.shut_down()
    }
}

impl tokio::io::AsyncRead for TcpIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.read_into(cx, buffer.initialize_unfilled()) {
            Poll::Ready(Ok(count)) => {
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl tokio::io::AsyncWrite for TcpIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut TaskContext<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.write_from(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        self.shut_down()
    }
}
