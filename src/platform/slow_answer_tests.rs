//! Tests of calls on links of limited bandwidth: answers and requests that take longer to be transferred than the timeout
//! of a call, answers that stop in the middle, and answers that trickle.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::advice::AdviceClient;
use super::hosts::HostClient;
use super::http_client::HttpClient;
use super::row_store::RowStoreClient;
use super::scripted_server::{run, serve, AnswerBody, PART_INTERVAL};
use crate::boot_clock::BootClock;
use crate::row_store::{
    RowId, RowPage, RowStoreCommitOutcome, RowStoreError, RowStoreTransaction, MAX_TRANSACTION_BYTES,
};

/// In parts of this size, a body of [`LARGE_BYTES`] takes twice the timeout of a call.
const PART_BYTES: usize = 4_000;
const LARGE_BYTES: usize = 600_000;

fn store_client(http_client: Rc<HttpClient>, address: SocketAddr) -> RowStoreClient {
    RowStoreClient::new(http_client, address, BootClock::new())
}

/// A page with one row.
fn page(value: &[u8]) -> String {
    let row = format!(r#"{{"table":"op","part":"","key":"config","value":"{}","ver":7}}"#, STANDARD.encode(value));
    format!(r#"{{"rows":[{row}],"morePages":false,"ver":7,"nowMs":1}}"#)
}

fn large_page() -> String {
    page(&vec![b'x'; LARGE_BYTES])
}

/// Starts a store whose answers `answer` gives by the number of the request, from 0. Returns its address and the number of
/// requests that it has received.
fn serve_store(answer: impl Fn(usize) -> AnswerBody + Send + Clone + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    let address = serve(move |_| answer(counter.fetch_add(1, Ordering::SeqCst)));
    (address, requests)
}

fn read_config(address: SocketAddr) -> Result<RowPage, RowStoreError> {
    run(move |http_client| async move { store_client(http_client, address).operator_changes(1, 0).await })
}

fn value_bytes(page: &RowPage) -> usize {
    page.rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum()
}

#[test]
fn answer_that_arrives_for_longer_than_the_timeout_is_taken() {
    // Guards against an answer that is dropped while it arrives and requested anew, without end.
    let (address, _) = serve_store(|_| AnswerBody::Slow { text: large_page(), part_bytes: PART_BYTES });

    let read = read_config(address);

    assert_eq!(value_bytes(&read.expect("the rows")), LARGE_BYTES);
}

#[test]
fn answer_that_stops_in_the_middle_is_requested_again() {
    // Guards against a call that waits for the rest of an answer on a connection that has gone silent.
    let (address, requests) = serve_store(|number| match number {
        0 => AnswerBody::Stalled(large_page()),
        _ => AnswerBody::Whole(large_page()),
    });

    let read = read_config(address);

    assert_eq!(value_bytes(&read.expect("the rows")), LARGE_BYTES);
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

#[test]
fn answers_that_all_stop_in_the_middle_end_the_call() {
    // Guards against a call that never ends, and tells how much of the answer arrived.
    let (address, _) = serve_store(|_| AnswerBody::Stalled(large_page()));

    let error = read_config(address).expect_err("no answer");

    assert!(matches!(error, RowStoreError::ResponseLost(_)), "{error}");
    assert!(error.to_string().contains("received"), "{error}");
}

#[test]
fn answer_that_trickles_does_not_hold_up_the_call() {
    // Guards against a connection that carries a few bytes a second and passes for one whose answer arrives.
    let (address, requests) = serve_store(|number| match number {
        0 => AnswerBody::Slow { text: large_page(), part_bytes: 1 },
        _ => AnswerBody::Whole(large_page()),
    });

    let read = read_config(address);

    assert_eq!(value_bytes(&read.expect("the rows")), LARGE_BYTES);
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

fn transaction(bytes: usize) -> RowStoreTransaction {
    let writes = vec![(RowId::new("record", "sched", "j"), vec![b'x'; bytes])];
    RowStoreTransaction { writes, ..RowStoreTransaction::default() }
}

/// What a store does after it has read a transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reader {
    Applies,
    NeverAnswers,
}

/// Starts a store that reads requests slowly. Returns its address and the number of connections that it has accepted.
fn serve_slow_reader(reader: Reader) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    // Accepted sockets have the same limit. What waits in them has passed the link.
    set_socket_recv_buffer_size(&listener, PART_BYTES).expect("a limit");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || read_slowly(stream, reader));
        }
    });
    (address, connections)
}

fn read_slowly(mut stream: TcpStream, reader: Reader) {
    let mut request = Vec::new();
    let mut part = vec![0; PART_BYTES];
    while !request.ends_with(b"\"remove\":[]}") {
        let Ok(count @ 1..) = stream.read(&mut part) else { return };
        request.extend_from_slice(&part[..count]);
        thread::sleep(PART_INTERVAL);
    }
    if reader == Reader::Applies {
        let body = r#"{"ver":9,"nowMs":1}"#;
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    }
    let _ = stream.read(&mut part);
}

#[test]
fn transaction_that_takes_longer_to_send_than_the_timeout_is_committed() {
    // Guards against a leader on a narrow link whose large transactions are sent again and again and never arrive whole.
    let (address, connections) = serve_slow_reader(Reader::Applies);

    let outcome = run(move |http_client| async move {
        store_client(http_client, address).commit(&transaction(MAX_TRANSACTION_BYTES)).await
    });

    assert_eq!(outcome, Ok(RowStoreCommitOutcome::Applied { version: 9 }));
    // What waits in the sockets at the end is taken for silence on a link as slow as this one.
    assert!(connections.load(Ordering::SeqCst) <= 2);
}

#[test]
fn request_that_is_taken_is_no_answer_of_the_store() {
    // Guards against a silent store that counts as reachable because large transactions are sent to it.
    let (address, _) = serve_slow_reader(Reader::NeverAnswers);

    let (outcome, answered_us, is_reachable) = run(move |http_client| async move {
        let client = store_client(http_client, address);
        let outcome = client.commit(&transaction(LARGE_BYTES / 4)).await;
        (outcome, client.answered_us(), client.is_reachable())
    });

    assert!(matches!(outcome, Err(RowStoreError::ResponseLost(_))), "{outcome:?}");
    assert_eq!((answered_us, is_reachable), (0, false));
}

#[test]
fn list_of_hosts_that_arrives_for_longer_than_the_timeout_is_taken() {
    // Guards against a provider whose list is never read on a narrow link.
    let host = format!(
        r#"{{"machine":"m1","pool":"press","state":"up","zone":"a","id":"w1","labels":["{}"]}}"#,
        "x".repeat(LARGE_BYTES)
    );
    let text = format!(r#"{{"machines":[{host}],"nextToken":null}}"#);
    let address = serve(move |_| AnswerBody::Slow { text: text.clone(), part_bytes: PART_BYTES });

    let list = run(move |http_client| async move { HostClient::new(http_client, address, "d1".into()).list().await });

    assert_eq!(list.expect("a list").hosts.len(), 1);
}

#[test]
fn call_with_a_fixed_deadline_ends_while_its_answer_arrives() {
    // Guards against advice that is waited for beyond its time because its answer is large.
    let text = format!(r#"{{"good":[["w1","{}"]]}}"#, "t".repeat(2 * LARGE_BYTES));
    let address = serve(move |_| AnswerBody::Slow { text: text.clone(), part_bytes: PART_BYTES });

    let advice = run(move |http_client| async move {
        AdviceClient::new(http_client, address).request_advice("j", 0, 0, &["w1".into()]).await
    });

    let error = advice.expect_err("no answer in time");
    assert!(error.contains("no complete answer in time") && error.contains("received"), "{error}");
}
