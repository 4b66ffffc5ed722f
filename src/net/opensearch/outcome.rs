//! Encoding of what the cluster stores of a protected search: the request, from which the search can be
//! executed again, and its outcome.
//!
//! The encoding is stored and sent between members and must not change. Decoding never panics on invalid
//! bytes.
#![warn(missing_docs)]

use thiserror::Error;

use crate::net::http::Response;

/// Errors of decoding stored bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CorruptRecord {
    /// The bytes end too early.
    #[error("truncated record")]
    Truncated,
    /// The status is not in the range 100 to 599.
    #[error("invalid status {0}")]
    InvalidStatus(u16),
    /// `Retry-After` is not a number of seconds.
    #[error("Retry-After is not a number of seconds")]
    InvalidRetryAfter,
    /// The target is not UTF-8.
    #[error("target is not UTF-8")]
    InvalidTarget,
}

/// A search as its client sent it: path, query string and body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchText<'a> {
    /// Path and query.
    pub target: &'a str,
    /// Bytes of the body.
    pub body: &'a [u8],
}

impl<'a> SearchText<'a> {
    /// Encodes the search: the length of the target (u32, big-endian), the target, the body.
    pub fn encode(&self) -> Vec<u8> {
        // The head of a request is limited to far less than 4 GiB.
        let length = u32::try_from(self.target.len()).unwrap_or(u32::MAX);
        [&length.to_be_bytes()[..], self.target.as_bytes(), self.body].concat()
    }

    /// Returns the target without its `timeout` parameter. A client that repeats a request with the same id
    /// sends the time that it has left, and means the same search; the record stores the deadline of the
    /// client separately.
    pub fn without_timeout(target: &str) -> String {
        let Some((path, query)) = target.split_once('?') else { return target.to_owned() };
        let parameters: Vec<&str> =
            query.split('&').filter(|p| p.split('=').next() != Some("timeout")).collect();
        if parameters.is_empty() {
            return path.to_owned();
        }
        [path, &parameters.join("&")].join("?")
    }

    /// Decodes the output of [`encode`](SearchText::encode).
    ///
    /// # Errors
    ///
    /// Returns [`CorruptRecord::Truncated`] or [`CorruptRecord::InvalidTarget`].
    pub fn decode(bytes: &'a [u8]) -> Result<SearchText<'a>, CorruptRecord> {
        let (length, rest) = bytes.split_first_chunk().ok_or(CorruptRecord::Truncated)?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        let (target, body) = rest.split_at_checked(length).ok_or(CorruptRecord::Truncated)?;
        let target = std::str::from_utf8(target).map_err(|_| CorruptRecord::InvalidTarget)?;
        Ok(SearchText { target, body })
    }
}

/// Encodes an outcome: the status (u16, big-endian), the length of the text of `Retry-After` (u8) and that
/// text, the body. Every member answers with the same response.
pub fn encode(response: &Response) -> Vec<u8> {
    let seconds = response.retry_after.map(|seconds| seconds.to_string()).unwrap_or_default();
    // Only an unrealistically long time has a longer text; it is omitted.
    let (length, text) = u8::try_from(seconds.len()).map_or((0, ""), |length| (length, &seconds));
    [&response.status.to_be_bytes()[..], &[length], text.as_bytes(), &response.body].concat()
}

/// Decodes the output of [`encode`].
///
/// # Errors
///
/// Returns a [`CorruptRecord`] that describes the error.
pub fn decode(bytes: &[u8]) -> Result<Response, CorruptRecord> {
    let (status, rest) = bytes.split_first_chunk().ok_or(CorruptRecord::Truncated)?;
    let status = u16::from_be_bytes(*status);
    if !(100..600).contains(&status) {
        return Err(CorruptRecord::InvalidStatus(status));
    }
    let (length, rest) = rest.split_first().ok_or(CorruptRecord::Truncated)?;
    let (seconds, body) = rest.split_at_checked(usize::from(*length)).ok_or(CorruptRecord::Truncated)?;
    let retry_after = match std::str::from_utf8(seconds) {
        Ok("") => None,
        Ok(text) => {
            let seconds = text.parse().ok().filter(|s: &f64| s.is_finite() && *s >= 0.0);
            Some(seconds.ok_or(CorruptRecord::InvalidRetryAfter)?)
        }
        Err(_) => return Err(CorruptRecord::InvalidRetryAfter),
    };
    Ok(Response { retry_after, ..Response::new(status, body) })
}
