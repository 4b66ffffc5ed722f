//! Parsers of external data in isolation: start times, frames, HTTP messages, DNS records, hits and
//! stored outcomes.
mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use common::frame;
use marlgap::balancer::interface::{EndpointState, ShardId};
use marlgap::coordinator::Clock;
use marlgap::net::buffer::Buffer;
use marlgap::net::data_nodes::frames::{self, FrameError};
use marlgap::net::dns_sd::zone_file;
use marlgap::net::http::{HttpError, MessageKind, Reader, Response};
use marlgap::net::opensearch::outcome::{self, CorruptRecord, SearchText};
use marlgap::net::opensearch::{merge, query};
use proptest::prelude::*;

/// Guards against taking one start for two: equal Unix times must convert to equal times on the
/// balancer's clock.
#[test]
fn equal_unix_times_convert_to_equal_clock_times() {
    let clock = Clock::new();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let born = clock.from_unix_ms(now.as_millis() as u64 - 5000);
    assert_eq!(born, clock.from_unix_ms(now.as_millis() as u64 - 5000));
    let age = clock.at(Instant::now()) - born.expect("a start time");
    assert!((4.9..6.0).contains(&age), "{age}");
    assert_eq!(clock.from_unix_ms(0), None);
}

#[test]
fn incomplete_frames_are_not_parsed_and_malformed_ones_are_rejected() {
    let bytes = frame("a a1.3.b served 17 inflight=7,util=0.61\nV");
    for n in 0..bytes.len() {
        assert_eq!(frames::parse(&bytes[..n]), Ok(None));
    }
    let (found, length) = frames::parse(&bytes).expect("valid input").expect("complete input");
    assert_eq!(length, bytes.len());
    let frames::Frame::Answer { id, report, value, .. } = found else { panic!("{found:?}") };
    assert_eq!((id, value), ("a1.3.b", &b"V"[..]));
    assert_eq!(
        (frames::report_value(report, "load_share"), frames::report_value(report, "concurrent")),
        (0.61, 7.0)
    );
    assert!(frames::report_value(report, "tps").is_nan());
    assert_eq!(frames::parse(&[0, 0, 0, 0]), Err(FrameError::InvalidLength(0)));
    assert_eq!(frames::parse(&[255; 4]), Err(FrameError::InvalidLength(u32::MAX as usize)));
    assert_eq!(frames::parse(&frame("x y")), Err(FrameError::UnknownType(b'x')));
    for bad in ["a a1.3 served", "a a1.3 served 1 -", "a a1.3 gone 1 -\n", "a a1.3 served nan -\n"] {
        assert_eq!(frames::parse(&frame(bad)), Err(FrameError::MalformedHeader), "{bad}");
    }
}

#[test]
fn http_messages_are_limited_in_size_and_their_chunks_validated() {
    let parse_in = |buffer: &mut Buffer| Reader::new(MessageKind::Request, 8).read(buffer);
    let parse = |text: &str| parse_in(&mut Buffer::from(text.as_bytes()));
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("\r\n{head}3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\nnext");
    for n in 0..whole.len() - 4 {
        assert!(matches!(parse(&whole[..n]), Ok(None)), "{n}");
    }
    let mut buffer = Buffer::from(whole.as_bytes());
    let message = parse_in(&mut buffer).expect("valid input").expect("complete input");
    assert_eq!(message.body(&buffer), b"abcde");
    buffer.consume(message.length);
    assert_eq!(buffer.unread(), b"next");
    assert!(matches!(parse(&format!("{head}9\r\n")), Err(HttpError::TooLarge)));
    assert!(matches!(parse(&format!("{head}ffffffffffffffff\r\n")), Err(HttpError::TooLarge)));
    assert!(matches!(parse(&format!("{head}3\r\nabcd\r\n")), Err(HttpError::Malformed(_))));
    for bad in
        ["Content-Length: +1", "Content-Length: 1\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip"]
    {
        let text = format!("POST / HTTP/1.1\r\n{bad}\r\n\r\n");
        assert!(matches!(parse(&text), Err(HttpError::Malformed(_))), "{bad}");
    }
}

const RECORDS: &str = "$ORIGIN t.test.\n$TTL 10\n_s._tcp IN PTR a\\032b._s._tcp\n_s._tcp IN PTR none._s._tcp\n\
    a\\032b._s._tcp IN SRV 5 0 99 other\na\\032b._s._tcp IN SRV 0 0 9201 h\n\
    a\\032b._s._tcp IN TXT \"Cell=3\" \"cell=4\" \"state=draining\" \"zone=tema\" \"born_ms=9\"\nh IN A 127.0.0.1\n";

#[test]
fn dns_records_list_servers_and_malformed_records_are_rejected() {
    let parse = |text: &str| zone_file::parse(text.as_bytes(), "_s._tcp.T.test.");
    let servers = parse(RECORDS).expect("valid input");
    assert_eq!(servers.len(), 1, "one server has no SRV record: {servers:?}");
    let server = &servers[0];
    assert_eq!(server.address, SocketAddr::from(([127, 0, 0, 1], 9201)), "the better priority");
    assert_eq!(
        (server.cell, server.state, &server.zone[..], server.start_unix_ms),
        (3, EndpointState::Draining, "tema", 9)
    );
    for (from, to) in
        [("Cell=3\" \"cell=4", "x"), ("draining", "tired"), ("born_ms=9", "born_ms=x"), (" 9201", " x")]
    {
        assert!(parse(&RECORDS.replace(from, to)).is_err(), "{from} -> {to}");
    }
    assert!(parse("$INCLUDE other\n").is_err());
    assert_eq!(parse("").expect("an empty zone file is valid"), []);
}

#[test]
fn hits_are_merged_by_their_sort_values_with_missing_ones_last() {
    let body = br#"{"sort":[{"area":"desc"},"_score"],"size":4,"track_total_hits":false}"#;
    let search = query::parse("fields", "", body).expect("a supported query");
    let reply = |hits: &str| {
        format!(r#"{{"_shards":{{"successful":1,"failed":0}},"hits":{{"max_score":null,"hits":[{hits}]}}}}"#)
    };
    let one = reply(r#"{"_id":"a","sort":[9,1.0]},{"_id":"b","sort":[5,2.0]},{"_id":"c","sort":[null,9]}"#);
    let two = reply(r#"{"_id":"d","sort":[10,1.0]},{"_id":"e","sort":[5,3.0]}"#);
    assert!(merge::check(one.as_bytes(), Some(2)).is_ok());
    assert!(merge::check(one.as_bytes(), Some(1)).is_err(), "not in this order");
    let values = [(ShardId(0), Rc::from(one.as_bytes())), (ShardId(1), Rc::from(two.as_bytes()))];
    let missing = merge::MissingShards { total: 2, failures: Vec::new(), timed_out: false };
    let merged = merge::merge(&search, &values, &missing, 7).expect("mergeable hits");
    let merged: serde_json::Value = serde_json::from_str(&merged).expect("JSON");
    let ids: Vec<_> =
        merged["hits"]["hits"].as_array().expect("hits").iter().map(|h| h["_id"].as_str()).collect();
    assert_eq!(ids, [Some("d"), Some("a"), Some("e"), Some("b")]);
    assert_eq!((&merged["hits"]["total"], &merged["took"]), (&serde_json::Value::Null, &7.into()));
}

#[test]
fn the_timeout_parameter_is_excluded_from_the_search_text() {
    for (target, text) in [
        ("/fields/_search?timeout=900ms", "/fields/_search"),
        ("/fields/_search?q=a&timeout=1s&size=3", "/fields/_search?q=a&size=3"),
        ("/fields/_search?q=timeout=1s", "/fields/_search?q=timeout=1s"),
        ("/fields/_search", "/fields/_search"),
    ] {
        assert_eq!(SearchText::without_timeout(target), text);
    }
}

proptest! {
    #[test]
    fn encoded_outcomes_and_search_texts_are_decoded_unchanged(
        status in 100u16..600,
        retry_after in proptest::option::of(0.0..1e6f64),
        target in ".{0,40}",
        body in proptest::collection::vec(any::<u8>(), 0..80),
    ) {
        let answer = Response { retry_after, ..Response::new(status, body.clone()) };
        let read = outcome::decode(&outcome::encode(&answer)).expect("complete input");
        prop_assert_eq!((read.status, read.retry_after, &read.body), (status, retry_after, &body));
        let text = SearchText { target: &target, body: &body };
        let bytes = text.encode();
        prop_assert_eq!(SearchText::decode(&bytes), Ok(text));
    }

    #[test]
    fn decoding_arbitrary_bytes_yields_an_error_or_a_valid_value(
        bytes in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        if let Ok(answer) = outcome::decode(&bytes) {
            prop_assert!((100..600).contains(&answer.status));
        }
        if let Ok(text) = SearchText::decode(&bytes) {
            prop_assert_eq!(text.encode(), bytes);
        }
    }
}

#[test]
fn corrupt_outcomes_and_search_texts_are_rejected() {
    let error = |bytes: &[u8]| outcome::decode(bytes).err();
    let whole = outcome::encode(&Response { retry_after: Some(1.5), ..Response::new(429, "{}") });
    assert_eq!(whole, b"\x01\xad\x031.5{}");
    // After the head, a body of any length is valid.
    for cut in 0..6 {
        assert_eq!(error(&whole[..cut]), Some(CorruptRecord::Truncated), "of {cut} bytes");
    }
    assert_eq!(error(b"\0\x63\0"), Some(CorruptRecord::InvalidStatus(99)));
    for wait in [b"\0\xc8\x031.x", b"\0\xc8\x03inf", b"\0\xc8\x03-01", b"\0\xc8\x03\xff\xff\xff"] {
        assert_eq!(error(wait), Some(CorruptRecord::InvalidRetryAfter));
    }
    assert_eq!(SearchText::decode(b"\0\0\0"), Err(CorruptRecord::Truncated));
    assert_eq!(SearchText::decode(b"\0\0\0\x05/a"), Err(CorruptRecord::Truncated));
    assert_eq!(SearchText::decode(b"\0\0\0\x01\xff"), Err(CorruptRecord::InvalidTarget));
}
