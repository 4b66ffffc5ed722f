//! What the fleet keeps of a protected search: the text that it is run again from, and the answer that is its outcome.
use std::fmt;

use crate::net::http::Response;

/// Bytes that cannot be read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptRecord {
    /// They end too early.
    Truncated,
    /// No status of an answer: 100 to 599.
    InvalidStatus(u16),
    /// The wait before the next try is no number of seconds.
    InvalidRetryAfter,
    /// The target is no text.
    InvalidTarget,
}

impl fmt::Display for CorruptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CorruptRecord::Truncated => f.write_str("cut off"),
            CorruptRecord::InvalidStatus(status) => write!(f, "{status} is no status"),
            CorruptRecord::InvalidRetryAfter => f.write_str("the time to wait is no number of seconds"),
            CorruptRecord::InvalidTarget => f.write_str("the target is no text"),
        }
    }
}

impl std::error::Error for CorruptRecord {}

/// A search as its client sent it: path with query, and body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchText<'a> {
    pub target: &'a str,
    pub body: &'a [u8],
}

impl<'a> SearchText<'a> {
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

    pub fn decode(bytes: &'a [u8]) -> Result<SearchText<'a>, CorruptRecord> {
        let (length, rest) = bytes.split_first_chunk().ok_or(CorruptRecord::Truncated)?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        let (target, body) = rest.split_at_checked(length).ok_or(CorruptRecord::Truncated)?;
        let target = std::str::from_utf8(target).map_err(|_| CorruptRecord::InvalidTarget)?;
        Ok(SearchText { target, body })
    }
}

/// The status (u16, big-endian), the length of the text of `Retry-After` (u8) and that text, the body. Whoever asked
/// gets the same answer from each member.
pub fn encode(answer: &Response) -> Vec<u8> {
    let wait = answer.retry_after.map(|seconds| seconds.to_string()).unwrap_or_default();
    // The text of an f64 may be longer for no wait that anybody would be told.
    let wait = u8::try_from(wait.len()).map_or((0, ""), |length| (length, &wait));
    [&answer.status.to_be_bytes()[..], &[wait.0], wait.1.as_bytes(), &answer.body].concat()
}

pub fn decode(bytes: &[u8]) -> Result<Response, CorruptRecord> {
    let (status, rest) = bytes.split_first_chunk().ok_or(CorruptRecord::Truncated)?;
    let status = u16::from_be_bytes(*status);
    if !(100..600).contains(&status) {
        return Err(CorruptRecord::InvalidStatus(status));
    }
    let (length, rest) = rest.split_first().ok_or(CorruptRecord::Truncated)?;
    let (wait, body) = rest.split_at_checked(usize::from(*length)).ok_or(CorruptRecord::Truncated)?;
    let retry_after = match std::str::from_utf8(wait) {
        Ok("") => None,
        Ok(text) => {
            let seconds = text.parse().ok().filter(|s: &f64| s.is_finite() && *s >= 0.0);
            Some(seconds.ok_or(CorruptRecord::InvalidRetryAfter)?)
        }
        Err(_) => return Err(CorruptRecord::InvalidRetryAfter),
    };
    Ok(Response { retry_after, ..Response::new(status, body) })
}
