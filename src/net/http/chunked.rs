//! Incremental decoder of the chunked transfer coding (RFC 9112, section 7.1), which works in place: the
//! data of the chunks is moved together over the size lines.
//!
//! Invariants: after each call, the decoded data is contiguous and followed by what is not decoded yet. The
//! bytes that are held are therefore bounded by the size of the body, however small the chunks are and
//! however long their extensions. Each byte is moved and scanned a bounded number of times.
#![warn(missing_docs)]

use super::{HttpError, MAX_HEAD_BYTES};
use crate::net::buffer::Buffer;

/// Longest chunk size line, including extensions.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Line terminator.
const LINE_END: &[u8] = b"\r\n";
/// End of a non-empty trailer: the end of its last line and an empty line.
const TRAILER_END: &[u8] = b"\r\n\r\n";

/// What the decoder reads next.
#[derive(Clone, Copy, PartialEq)]
enum Expected {
    /// The size line of a chunk.
    Size,
    /// This many further bytes of the chunk's data.
    Data(usize),
    /// The line end after the chunk's data.
    DataEnd,
    /// The trailer. Its first bytes, of this number, do not contain its end.
    Trailer { searched: usize },
}

/// Decoding state of a chunked body.
#[derive(Clone, Copy)]
pub(super) struct ChunkedBody {
    /// Offset of the decoded data.
    start: usize,
    /// Offset of the end of the decoded data, where the bytes that are not decoded begin.
    end: usize,
    expected: Expected,
}

impl ChunkedBody {
    /// Creates a decoder for a body whose first chunk starts at `position`.
    pub(super) fn new(position: usize) -> ChunkedBody {
        ChunkedBody { start: position, end: position, expected: Expected::Size }
    }

    /// Returns the range of the data that has been decoded.
    pub(super) fn data(&self) -> std::ops::Range<usize> {
        self.start..self.end
    }

    /// Decodes what has arrived in `buffer`, whose unread bytes must begin with those that the previous call
    /// left. Returns the offset of the end of the message once it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] for an invalid chunk, and [`HttpError::TooLarge`] for a body over
    /// `max_body_bytes` or a trailer over [`MAX_HEAD_BYTES`].
    pub(super) fn read(
        &mut self,
        buffer: &mut Buffer,
        max_body_bytes: usize,
    ) -> Result<Option<usize>, HttpError> {
        let bytes = buffer.unread_mut();
        let mut position = self.end;
        while let Some(next) = self.step(bytes, position, max_body_bytes)? {
            position = next;
        }
        let length = self.end + bytes.len() - position;
        bytes.copy_within(position.., self.end);
        buffer.truncate(length);
        self.read_trailer(buffer.unread())
    }

    /// Decodes the next element, which starts at `position`, and returns the position after it. Returns
    /// `None` if it is incomplete or the trailer has been reached.
    fn step(
        &mut self,
        bytes: &mut [u8],
        position: usize,
        max_body_bytes: usize,
    ) -> Result<Option<usize>, HttpError> {
        let rest = &bytes[position..];
        match self.expected {
            Expected::Size => {
                let Some((line, size)) = read_size(rest)? else { return Ok(None) };
                let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
                if size > max_body_bytes - (self.end - self.start) {
                    return Err(HttpError::TooLarge);
                }
                self.expected = match size {
                    0 => Expected::Trailer { searched: 0 },
                    size => Expected::Data(size),
                };
                Ok(Some(position + line))
            }
            Expected::Data(_) if rest.is_empty() => Ok(None),
            Expected::Data(missing) => {
                let arrived = missing.min(rest.len());
                bytes.copy_within(position..position + arrived, self.end);
                self.end += arrived;
                self.expected = match missing - arrived {
                    0 => Expected::DataEnd,
                    missing => Expected::Data(missing),
                };
                Ok(Some(position + arrived))
            }
            Expected::DataEnd => match rest.get(..LINE_END.len()) {
                None => Ok(None),
                Some(LINE_END) => {
                    self.expected = Expected::Size;
                    Ok(Some(position + LINE_END.len()))
                }
                Some(_) => Err(HttpError::Malformed("chunk")),
            },
            Expected::Trailer { .. } => Ok(None),
        }
    }

    /// Returns the offset of the end of the trailer, once it is complete.
    fn read_trailer(&mut self, bytes: &[u8]) -> Result<Option<usize>, HttpError> {
        let Expected::Trailer { searched } = self.expected else { return Ok(None) };
        let trailer = &bytes[self.end..];
        if trailer.starts_with(LINE_END) {
            return Ok(Some(self.end + LINE_END.len()));
        }
        // The terminator may have arrived in two pieces.
        let from = searched.saturating_sub(TRAILER_END.len() - 1);
        self.expected = Expected::Trailer { searched: trailer.len() };
        match trailer[from..].windows(TRAILER_END.len()).position(|window| window == TRAILER_END) {
            Some(found) => Ok(Some(self.end + from + found + TRAILER_END.len())),
            None if trailer.len() > MAX_HEAD_BYTES => Err(HttpError::TooLarge),
            None => Ok(None),
        }
    }
}

/// Returns the length of the size line at the start of `rest` and the size in it, once the line is complete.
fn read_size(rest: &[u8]) -> Result<Option<(usize, u64)>, HttpError> {
    match httparse::parse_chunk_size(rest) {
        Ok(httparse::Status::Complete((line, size))) => Ok(Some((line, size))),
        Ok(httparse::Status::Partial) if rest.len() <= MAX_SIZE_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(HttpError::Malformed("chunk size")),
    }
}
