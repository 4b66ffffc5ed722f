//! What the fleet keeps of a protected search: the text that it is run again from, and the answer that is its outcome.
use std::fmt;

use crate::net::http::Answer;

/// Bytes that cannot be read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// They end too early.
    Cut,
    /// No status of an answer: 100 to 599.
    Status(u16),
    /// The wait before the next try is no number of seconds.
    RetryAfter,
    /// The target is no text.
    Target,
}

impl fmt::Display for Spoilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Spoilt::Cut => f.write_str("cut off"),
            Spoilt::Status(status) => write!(f, "{status} is no status"),
            Spoilt::RetryAfter => f.write_str("the time to wait is no number of seconds"),
            Spoilt::Target => f.write_str("the target is no text"),
        }
    }
}

impl std::error::Error for Spoilt {}

/// A search as its client sent it: path with query, and body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Text<'a> {
    pub target: &'a str,
    pub body: &'a [u8],
}

impl<'a> Text<'a> {
    /// The length of the target (u32, big-endian), the target, the body.
    pub fn encode(&self) -> Vec<u8> {
        // A request's head is bounded far under 4 GiB.
        let length = u32::try_from(self.target.len()).unwrap_or(u32::MAX);
        [&length.to_be_bytes()[..], self.target.as_bytes(), self.body].concat()
    }

    /// The target without its `timeout`: who asks again under an id names the time that is left, and means the same
    /// search. The record has the client's end by itself.
    pub fn untimed(target: &str) -> String {
        let Some((path, query)) = target.split_once('?') else { return target.to_owned() };
        let kept: Vec<&str> = query.split('&').filter(|p| p.split('=').next() != Some("timeout")).collect();
        if kept.is_empty() {
            return path.to_owned();
        }
        [path, &kept.join("&")].join("?")
    }

    pub fn decode(bytes: &'a [u8]) -> Result<Text<'a>, Spoilt> {
        let (length, rest) = bytes.split_first_chunk().ok_or(Spoilt::Cut)?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        let (target, body) = rest.split_at_checked(length).ok_or(Spoilt::Cut)?;
        let target = std::str::from_utf8(target).map_err(|_| Spoilt::Target)?;
        Ok(Text { target, body })
    }
}

/// The status (u16, big-endian), the length of the text of `Retry-After` (u8) and that text, the body. Whoever asked
/// gets the same answer from each member.
pub fn encode(answer: &Answer) -> Vec<u8> {
    let wait = answer.retry_after.map(|seconds| seconds.to_string()).unwrap_or_default();
    // The text of an f64 may be longer for no wait that anybody would be told.
    let wait = u8::try_from(wait.len()).map_or((0, ""), |length| (length, &wait));
    [&answer.status.to_be_bytes()[..], &[wait.0], wait.1.as_bytes(), &answer.body].concat()
}

pub fn decode(bytes: &[u8]) -> Result<Answer, Spoilt> {
    let (status, rest) = bytes.split_first_chunk().ok_or(Spoilt::Cut)?;
    let status = u16::from_be_bytes(*status);
    if !(100..600).contains(&status) {
        return Err(Spoilt::Status(status));
    }
    let (length, rest) = rest.split_first().ok_or(Spoilt::Cut)?;
    let (wait, body) = rest.split_at_checked(usize::from(*length)).ok_or(Spoilt::Cut)?;
    let retry_after = match std::str::from_utf8(wait) {
        Ok("") => None,
        Ok(text) => {
            let seconds = text.parse().ok().filter(|s: &f64| s.is_finite() && *s >= 0.0);
            Some(seconds.ok_or(Spoilt::RetryAfter)?)
        }
        Err(_) => return Err(Spoilt::RetryAfter),
    };
    Ok(Answer { retry_after, ..Answer::new(status, body) })
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn the_time_that_is_left_is_no_part_of_the_text() {
        for (target, text) in [
            ("/fields/_search?timeout=900ms", "/fields/_search"),
            ("/fields/_search?q=a&timeout=1s&size=3", "/fields/_search?q=a&size=3"),
            ("/fields/_search?q=timeout=1s", "/fields/_search?q=timeout=1s"),
            ("/fields/_search", "/fields/_search"),
        ] {
            assert_eq!(Text::untimed(target), text);
        }
    }

    proptest! {
        #[test]
        fn what_was_written_is_read_back(
            status in 100u16..600,
            retry_after in proptest::option::of(0.0..1e6f64),
            target in ".{0,40}",
            body in proptest::collection::vec(any::<u8>(), 0..80),
        ) {
            let answer = Answer { retry_after, ..Answer::new(status, body.clone()) };
            let read = decode(&encode(&answer)).expect("whole");
            prop_assert_eq!((read.status, read.retry_after, &read.body), (status, retry_after, &body));
            let text = Text { target: &target, body: &body };
            let bytes = text.encode();
            prop_assert_eq!(Text::decode(&bytes), Ok(text));
        }

        #[test]
        fn spoilt_bytes_are_told_or_mean_something_else_and_never_panic(
            bytes in proptest::collection::vec(any::<u8>(), 0..40),
        ) {
            if let Ok(answer) = decode(&bytes) {
                prop_assert!((100..600).contains(&answer.status));
            }
            if let Ok(text) = Text::decode(&bytes) {
                prop_assert_eq!(text.encode(), bytes);
            }
        }
    }

    #[test]
    fn spoilt_bytes_are_an_error() {
        let error = |bytes: &[u8]| decode(bytes).err();
        let whole = encode(&Answer { retry_after: Some(1.5), ..Answer::new(429, "{}") });
        assert_eq!(whole, b"\x01\xad\x031.5{}");
        // Behind the head every length is a body.
        for cut in 0..6 {
            assert_eq!(error(&whole[..cut]), Some(Spoilt::Cut), "of {cut} bytes");
        }
        assert_eq!(error(b"\0\x63\0"), Some(Spoilt::Status(99)));
        for wait in [b"\0\xc8\x031.x", b"\0\xc8\x03inf", b"\0\xc8\x03-01", b"\0\xc8\x03\xff\xff\xff"] {
            assert_eq!(error(wait), Some(Spoilt::RetryAfter));
        }
        assert_eq!(Text::decode(b"\0\0\0"), Err(Spoilt::Cut));
        assert_eq!(Text::decode(b"\0\0\0\x05/a"), Err(Spoilt::Cut));
        assert_eq!(Text::decode(b"\0\0\0\x01\xff"), Err(Spoilt::Target));
    }
}
