//! The chunked transfer coding (RFC 9112, section 7.1), read as its bytes come in.
//!
//! Invariant: a chunk that was found is not looked at again, and the trailer is searched once but for three
//! bytes: the work is in proportion to the bytes, however small the pieces are.
#![warn(missing_docs)]

use std::ops::Range;

use super::{HttpError, MAX_HEAD_BYTES};

/// The longest line with a chunk's size, extensions included.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";
/// The end of a trailer that is not empty: of its last line, and an empty one.
const TRAILER_END: &[u8] = b"\r\n\r\n";

/// How far a chunked body has been read.
#[derive(Clone, Copy)]
pub(super) struct ChunkedBody {
    /// Where the next chunk, or the trailer, starts.
    position: usize,
    /// Bytes of all chunks so far.
    body_bytes: usize,
    /// How far the trailer has been searched for its end, once the last chunk has been read.
    trailer_searched_to: Option<usize>,
}

impl ChunkedBody {
    /// A body whose first chunk starts at `position`.
    pub(super) fn new(position: usize) -> ChunkedBody {
        ChunkedBody { position, body_bytes: 0, trailer_searched_to: None }
    }

    /// Read on in `bytes`, which start as they did at the call before, and add the new chunks to `chunks`.
    /// Returns where the body ends, once it is complete.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] for a chunk that can't be read, [`HttpError::TooLarge`] for a body over
    /// `max_body_bytes` or a trailer over [`MAX_HEAD_BYTES`].
    pub(super) fn read(
        &mut self,
        bytes: &[u8],
        chunks: &mut Vec<Range<usize>>,
        max_body_bytes: usize,
    ) -> Result<Option<usize>, HttpError> {
        while self.trailer_searched_to.is_none() {
            let Some((start, size)) = self.read_size(bytes)? else { return Ok(None) };
            if size == 0 {
                self.position = start;
                self.trailer_searched_to = Some(start);
                break;
            }
            let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
            if size > max_body_bytes - self.body_bytes {
                return Err(HttpError::TooLarge);
            }
            let end = start + size;
            let next = end + LINE_END.len();
            match bytes.get(end..next) {
                None => return Ok(None),
                Some(LINE_END) => {}
                Some(_) => return Err(HttpError::Malformed("chunk")),
            }
            chunks.push(start..end);
            self.position = next;
            self.body_bytes += size;
        }
        self.read_trailer(bytes)
    }

    /// Where the data of the next chunk starts, and its size, once its size line is complete.
    fn read_size(&self, bytes: &[u8]) -> Result<Option<(usize, u64)>, HttpError> {
        let rest = &bytes[self.position..];
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((line, size))) => Ok(Some((self.position + line, size))),
            Ok(httparse::Status::Partial) if rest.len() <= MAX_SIZE_LINE_BYTES => Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => Err(HttpError::Malformed("chunk size")),
        }
    }

    /// Where the trailer ends, once it is complete.
    fn read_trailer(&mut self, bytes: &[u8]) -> Result<Option<usize>, HttpError> {
        let start = self.position;
        let rest = &bytes[start..];
        if rest.starts_with(LINE_END) {
            return Ok(Some(start + LINE_END.len()));
        }
        // The end may have come in two pieces.
        let overlap = TRAILER_END.len() - 1;
        let from = self.trailer_searched_to.unwrap_or(start).saturating_sub(overlap).max(start);
        self.trailer_searched_to = Some(bytes.len());
        match bytes[from..].windows(TRAILER_END.len()).position(|window| window == TRAILER_END) {
            Some(found) => Ok(Some(from + found + TRAILER_END.len())),
            None if rest.len() > MAX_HEAD_BYTES => Err(HttpError::TooLarge),
            None => Ok(None),
        }
    }
}
