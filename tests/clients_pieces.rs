//! Messages that arrive in pieces are parsed like complete ones, and the work is proportional to their size.
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{future, AsyncRead};
use marlgap::net::buffer::Buffer;
use marlgap::net::http::{self, HttpError, Message, MessageKind};

/// A stream that returns its bytes in pieces of the given size.
struct Pieces<'b>(&'b [u8], usize);

impl AsyncRead for Pieces<'_> {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, to: &mut [u8]) -> Poll<io::Result<usize>> {
        let n = self.1.min(to.len()).min(self.0.len());
        to[..n].copy_from_slice(&self.0[..n]);
        self.0 = &self.0[n..];
        Poll::Ready(Ok(n))
    }
}

fn read(bytes: &[u8], size: usize) -> (Result<Message, HttpError>, Buffer) {
    let (mut buffer, mut pieces) = (Buffer::default(), Pieces(bytes, size));
    let read = http::read(&mut pieces, &mut buffer, MessageKind::Request, http::MAX_BODY_BYTES);
    let message = future::block_on(read);
    (message, buffer)
}

#[test]
fn a_message_in_pieces_reads_as_the_complete_one() {
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (text, body) in [
        ("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab\r\nc".to_owned(), "ab\r\nc"),
        (format!("\r\n{chunked}3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"), "abcde"),
        (format!("{chunked}1\r\na\r\n0\r\nTrailer: t\r\nu: v\r\n\r\n"), "a"),
        ("POST /a HTTP/1.1\r\n\r\n".to_owned(), ""),
    ] {
        for size in 1..=text.len() {
            let (message, buffer) = read(text.as_bytes(), size);
            let message = message.expect("sound");
            assert_eq!(message.body(&buffer), body.as_bytes(), "{text} in pieces of {size}");
            assert_eq!(message.text(&buffer, &message.path), "/a");
            assert_eq!(message.length, buffer.unread().len(), "all of it belongs to the message");
        }
    }
    for bad in [format!("{chunked}1\r\nabc"), format!("{chunked}x"), "x x\r\n".into(), "\r\n".repeat(99)] {
        for size in 1..=bad.len() {
            let message = read(bad.as_bytes(), size).0;
            assert!(
                matches!(message, Err(HttpError::Malformed(_))),
                "{bad} in pieces of {size}: {message:?}"
            );
        }
    }
}

/// The largest body in chunks of one byte, received one byte at a time. Parsing it from the start for each
/// piece took minutes, while a client has two seconds and delays all others.
#[test]
fn reading_a_body_in_tiny_pieces_takes_linear_work() {
    let mut text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    text += &"1\r\nx\r\n".repeat(http::MAX_BODY_BYTES);
    text += "0\r\n";
    text += &"a: b\r\n".repeat(2000);
    text += "\r\n";
    let started = Instant::now();
    let (message, buffer) = read(text.as_bytes(), 1);
    assert_eq!(message.expect("sound").body(&buffer).len(), http::MAX_BODY_BYTES);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}
