//! Connections on which either side violates HTTP/2: misbehaving servers, floods and silent clients.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use marlgap::net::grpc::status::Code;

use crate::common::*;
use crate::raw::{frame, literal, read_goaway, read_raw, send_raw, DATA, END_HEADERS, END_STREAM, HEADERS};
use crate::rig::{new_rig, ONCE, SAFE};
use crate::standin::Client;

/// Type of a PING frame, and its flag in an answer (RFC 9113, section 6.7).
const PING: u8 = 6;
const ACK: u8 = 1;

/// Starts a server that is implemented on raw frames, for behaviour that h2 does not produce. It answers
/// PINGs until a call arrives. It then sends a GOAWAY that names no processed stream if `sends_goaway` is
/// set, and otherwise sends nothing any more. Returns its address and the number of calls that it received.
fn faulty_server(sends_goaway: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let (address, calls) = (listener.local_addr().expect("bound"), Arc::new(AtomicUsize::new(0)));
    let server_calls = calls.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let calls = server_calls.clone();
            std::thread::spawn(move || {
                let mut preface = [0; 24];
                drop(stream.read_exact(&mut preface));
                // Empty SETTINGS, and the ACK of the client's.
                drop(stream.write_all(b"\0\0\0\x04\0\0\0\0\0\0\0\0\x04\x01\0\0\0\0"));
                let (mut header, mut silent) = ([0; 9], false);
                while stream.read_exact(&mut header).is_ok() {
                    let mut payload = vec![0; usize::from(header[1]) << 8 | usize::from(header[2])];
                    drop(stream.read_exact(&mut payload));
                    match header[3] {
                        1 => {
                            calls.fetch_add(1, Ordering::SeqCst);
                            silent = !sends_goaway;
                            if sends_goaway {
                                drop(stream.write_all(b"\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0"));
                            }
                        }
                        6 if header[4] == 0 && !silent => {
                            drop(stream.write_all(&[b"\0\0\x08\x06\x01\0\0\0\0", &payload[..]].concat()));
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, calls)
}

#[test]
fn calls_refused_by_goaway_are_retried_and_silent_connections_are_closed() {
    // Half of the calls first go to the server that sends GOAWAY. They must be retried at the other server,
    // even if they are not idempotent, because the GOAWAY proves that they were not executed.
    let rig = new_rig("grpc_goaway", 2, |_| {});
    let (faulty, calls) = faulty_server(true);
    write_zone_file(&rig.folder, &[(rig.servers[0], "up"), (faulty, "up")]);
    drop(rig.program.wait_for_log("list of servers"));
    for n in 0..20 {
        let id = format!("goaway-{n}");
        let got = rig.call(ONCE, &id, "ok:1:0");
        rig.check_call(&id, &got, Code::Ok, 1, 1..=1);
    }
    assert!(calls.load(Ordering::SeqCst) > 0, "the faulty server was tried");
    // The only server receives a call, and then answers neither the call nor PINGs. A PING is sent after
    // 0.1 s, and the connection is closed 0.3 s later.
    let rig = new_rig("grpc_mute", 1, |_| {});
    let (silent_server, calls) = faulty_server(false);
    write_zone_file(&rig.folder, &[(silent_server, "up")]);
    drop(rig.program.wait_for_log("list of servers"));
    let begun = Instant::now();
    let got = rig.call(ONCE, "mute", "ok:1:0");
    let took = begun.elapsed();
    assert_eq!((got.code(), calls.load(Ordering::SeqCst)), (Code::Unavailable as u32, 1), "{got:?}");
    assert!(took > Duration::from_millis(390) && took < Duration::from_millis(1500), "{took:?}");
    drop(rig.program.wait_for_log("connection to a server given up"));
}

#[test]
fn floods_are_ended_by_goaway_without_effect_on_other_connections() {
    let rig = new_rig("grpc_floods", 1, |file| file["grpc"]["front"]["idle_s"] = 1.0.into());
    let head = [
        literal(":method", "POST"),
        literal(":scheme", "http"),
        literal(":path", "/t.S/Bidi"),
        literal(":authority", "f"),
        literal("content-type", "application/grpc"),
        literal("tile", "3"),
        literal("do", "silent"),
    ]
    .concat();
    let resets: Vec<u8> = (0..300u32)
        .flat_map(|n| [frame(1, 4, 2 * n + 1, &head), frame(3, 0, 2 * n + 1, &[0, 0, 0, 8])].concat())
        .collect();
    let empty = [frame(1, 4, 1, &head), frame(0, 0, 1, &[]).repeat(500)].concat();
    let continued = [frame(1, 0, 1, &head), frame(9, 0, 1, &literal("x", "y")).repeat(500)].concat();
    let floods = [
        ("PING", frame(6, 0, 0, &[0; 8]).repeat(500)),
        ("SETTINGS", frame(4, 0, 0, &[]).repeat(500)),
        ("RST_STREAM", resets),
        ("empty DATA", empty),
        ("CONTINUATION", continued),
        ("WINDOW_UPDATE, PRIORITY and unknown", frame(8, 0, 0, &[0, 0, 0, 1]).repeat(30_000)),
    ];
    Client::with(rig.front, async |client| {
        for (kind, bytes) in &floods {
            let mut stream = send_raw(rig.front, bytes);
            let id = format!("beside {kind}");
            let metadata = [("call-id", &id[..]), ("do", "ok:1:0"), ("tile", "3")];
            assert_eq!(client.call(SAFE, &metadata, b"x").await.code(), 0, "{kind}");
            let code = read_goaway(&mut stream);
            assert_eq!(code, Some(11), "{kind}: ENHANCE_YOUR_CALM");
        }
    });
    // Headers that are too long fail only their own call. An idle connection gets a GOAWAY.
    Client::with(rig.front, async |client| {
        let long = "x".repeat(20_000);
        let got = client
            .call(SAFE, &[("call-id", "long"), ("do", "ok:1:0"), ("tile", "3"), ("x", &long)], b"x")
            .await;
        assert!(got.messages == 0 && rig.record.attempts_of("long").is_empty(), "{got:?}");
    });
    assert_eq!(read_goaway(&mut send_raw(rig.front, &[])), Some(0), "idle: GOAWAY with NO_ERROR");
    // Connections without a valid preface are closed by the handshake timeout.
    let begun = Instant::now();
    for bytes in [&b""[..], b"GET / HTTP/1.1\r\n\r\n", b"PRI * HTTP/2.0\r\n"] {
        let mut stream = connect(rig.front);
        stream.write_all(bytes).expect("written");
        drop(stream.read_to_end(&mut Vec::new()));
    }
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

/// Guards against calls that are started long after their client has closed the connection, because the close is
/// behind more data than was read.
#[test]
fn calls_before_an_unread_close_are_not_started() {
    const CALLS: usize = 200;
    let rig = new_rig("grpc_unread_close", 1, |_| ());
    let mut client = send_raw(rig.front, &frame(PING, 0, 0, &[0; 8]));
    while read_raw(&mut client).is_none_or(|frame| (frame.kind, frame.flags) != (PING, ACK)) {}
    let message = frame(DATA, END_STREAM, 0, b"\0\0\0\0\0");
    let calls: Vec<u8> = (0..CALLS)
        .flat_map(|n| {
            let padding = (0..16).flat_map(|n| literal(&format!("padding-{n}"), &"x".repeat(120)));
            let fields = [
                literal(":method", "POST"),
                literal(":scheme", "http"),
                literal(":path", SAFE),
                literal(":authority", "f"),
                literal("content-type", "application/grpc"),
                literal("tile", "0"),
                literal("call-id", "left"),
            ];
            let head: Vec<u8> = fields.concat().into_iter().chain(padding).collect();
            let stream = 2 * n as u32 + 1;
            let mut message = message.clone();
            message[5..9].copy_from_slice(&stream.to_be_bytes());
            [frame(HEADERS, END_HEADERS, stream, &head), message].concat()
        })
        .collect();
    assert!(rig.program.suspend());
    client.set_nonblocking(true).expect("set");
    let written = client.write(&calls).expect("written");
    assert!(written > 128 * 1024, "only {written} bytes fit");
    drop(client);
    rig.program.signal("-CONT");
    // The calls of another client show that the time for the attempts of the first has passed.
    for id in ["next", "last"] {
        let got = rig.call(SAFE, id, "ok:1:0");
        rig.check_call(id, &got, Code::Ok, 1, 1..=1);
    }
    assert_eq!(rig.record.attempts_of("left").len(), 0);
}
