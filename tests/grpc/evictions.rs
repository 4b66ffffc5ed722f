//! Calls on connections that the front closes, because others need their slots or the process shuts down.
use std::future::{poll_fn, Future};
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use futures_lite::future::yield_now;
use h2::Reason;

use crate::common::TEST_TIMEOUT;
use crate::raw::{
    frame, literal, read_raw, send_raw, Frame, DATA, END_HEADERS, END_STREAM, HEADERS, RST_STREAM,
};
use crate::rig::{new_rig, new_rig_with_descriptors, Rig, SAFE};
use crate::standin::{read, Client};

/// Descriptors of the process: 32 are reserved, and each of the two fronts has half of the rest.
const DESCRIPTORS: usize = 128;
/// Connections that clients of the gRPC front may hold: three quarters of its descriptors.
const MAX_CONNECTIONS: usize = (DESCRIPTORS - 32) / 2 * 3 / 4;
/// Evictions during which the client of the oldest connection makes a call.
const EVICTIONS: usize = 8;

/// Makes a call that its server answers with one message.
async fn answered_call(client: &Client, id: &str) -> u32 {
    client.call(SAFE, &[("call-id", id), ("do", "ok:1:0"), ("tile", "3")], b"x").await.code()
}

/// Opens connections up to `count`, and makes a call on each of them. Connections that have ended are removed
/// before.
async fn fill_slots(rig: &Rig, clients: &mut Vec<Rc<Client>>, count: usize) {
    clients.retain(|client| !client.has_ended());
    while clients.len() < count {
        let client = Client::connect(rig.front, clients[0].executor().clone()).await;
        assert_eq!(answered_call(&client, "resting").await, 0);
        clients.push(client);
        clients.retain(|client| !client.has_ended());
    }
}

/// Waits until at least one connection has ended, and until the front has closed its side: it answers calls
/// on `other` in the order of their arrival.
async fn wait_for_eviction(clients: &[Rc<Client>], other: &Client) {
    let mut ends: Vec<_> = clients.iter().map(|client| Box::pin(client.ended())).collect();
    poll_fn(|cx| {
        let any_ended = ends.iter_mut().any(|end| end.as_mut().poll(cx).is_ready());
        if any_ended {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    assert_eq!(answered_call(other, "after-eviction").await, 0);
}

/// Guards against a front that serves nobody any more after a call crossed the eviction of its connection.
///
/// The process is stopped while a newcomer connects and the client of the oldest connection makes a call, so
/// that the process finds both at once: the newcomer first, which evicts that connection.
#[test]
fn a_call_that_crosses_the_eviction_of_its_connection_is_answered() {
    let rig = new_rig_with_descriptors("grpc_evictions", DESCRIPTORS);
    Client::with(rig.front, async |first| {
        assert_eq!(answered_call(&first, "first").await, 0);
        let mut clients = vec![first];
        // The front evicts the oldest connection as soon as it has been idle for long enough. From then on
        // any of them can be evicted.
        fill_slots(&rig, &mut clients, MAX_CONNECTIONS).await;
        wait_for_eviction(&clients, &clients[MAX_CONNECTIONS - 1]).await;
        let mut crossed = 0;
        for n in 0..EVICTIONS {
            fill_slots(&rig, &mut clients, MAX_CONNECTIONS - 1).await;
            let oldest = clients[0].clone();
            assert!(rig.program.suspend());
            let newcomer = Client::connect(rig.front, oldest.executor().clone()).await;
            let id = format!("crossing-{n}");
            let metadata = [("call-id", &id[..]), ("do", "ok:1:0"), ("tile", "3")];
            let (response, mut stream) = oldest.begin(SAFE, &metadata).await;
            drop(stream.send_data(b"\0\0\0\0\x01x".to_vec().into(), true));
            // The task of the connection writes the call before the process continues.
            yield_now().await;
            rig.program.signal("-CONT");
            assert_eq!(read(response).await.code(), 0, "{id}");
            assert_eq!(answered_call(&newcomer, &format!("newcomer-{n}")).await, 0);
            wait_for_eviction(&clients, &newcomer).await;
            crossed += usize::from(oldest.has_ended());
            clients.push(newcomer);
        }
        assert!(crossed > 0, "no call crossed an eviction");
    });
}

/// Returns the frames of a call with one message: its headers and its data.
fn call_frames(stream: u32, id: &str, script: &str) -> Vec<u8> {
    let head = [
        literal(":method", "POST"),
        literal(":scheme", "http"),
        literal(":path", SAFE),
        literal(":authority", "f"),
        literal("content-type", "application/grpc"),
        literal("grpc-timeout", "500m"),
        literal("call-id", id),
        literal("tile", "3"),
        literal("do", script),
    ]
    .concat();
    [frame(HEADERS, END_HEADERS, stream, &head), frame(DATA, END_STREAM, stream, b"\0\0\0\0\x01x")].concat()
}

/// Reads up to the frame that ends a call; `None` if the connection ends first.
fn read_end_of_call(connection: &mut TcpStream) -> Option<Frame> {
    let ends_call =
        |frame: &Frame| frame.kind == RST_STREAM || frame.kind == HEADERS && frame.flags & END_STREAM != 0;
    std::iter::from_fn(|| read_raw(connection)).find(ends_call)
}

/// Guards against a connection that stays open for ever, and with it the process, because its client ignores
/// the GOAWAY that it was sent during a call. The calls that it makes then are answered or refused.
#[test]
fn a_client_that_ignores_goaway_does_not_prevent_the_exit() {
    let mut rig = new_rig("grpc_ignored_goaway", 1, |_| {});
    let mut connection = send_raw(rig.front, &call_frames(1, "open", "silent"));
    rig.record.wait_for("open", |seen| !seen.is_empty());
    rig.program.signal("-TERM");
    let open_call = read_end_of_call(&mut connection).expect("the open call is answered");
    assert_eq!(open_call.kind, HEADERS, "the open call is answered");
    // Each call takes its server 30 ms. Those that are made within 1 s of the GOAWAY are served.
    let (mut answered, mut refused) = (0, None);
    let deadline = Instant::now() + TEST_TIMEOUT / 4;
    while refused.is_none() && Instant::now() < deadline {
        let stream = 2 * answered + 3;
        connection.write_all(&call_frames(stream, "later", "late:1:0")).expect("the connection is open");
        let end = read_end_of_call(&mut connection).expect("the call is answered or refused");
        answered += u32::from(end.kind == HEADERS);
        refused = Some(end).filter(|end| end.kind == RST_STREAM);
    }
    let reason = refused.map(|frame| frame.payload);
    assert_eq!(reason, Some(u32::from(Reason::REFUSED_STREAM).to_be_bytes().to_vec()), "{answered} answered");
    rig.program.wait_for_exit();
}
