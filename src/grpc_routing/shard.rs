//! Reads a field of a call's first message without its schema, by means of prost's wire format primitives,
//! and hashes keys. Never reads beyond the message, nor decompresses more than a limit.
use std::hash::Hasher;
use std::io::Read;

use prost::encoding::{decode_key, decode_varint, skip_field, DecodeContext, WireType};
use prost::DecodeError;

use super::ShardError;

/// A field's value in its wire representation.
#[derive(Debug, PartialEq, Eq)]
pub enum FieldValue<'m> {
    /// A varint, fixed32 or fixed64, as an unsigned number.
    Number(u64),
    /// A length-delimited value: a string, bytes or a message.
    Bytes(&'m [u8]),
}

/// The error for bytes that are not a Protocol Buffers message.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the message is malformed")]
pub struct MalformedMessage;

impl From<DecodeError> for MalformedMessage {
    fn from(_: DecodeError) -> Self {
        MalformedMessage
    }
}

/// Returns the value of the field at `path` of a Protocol Buffers message, `None` if it is absent. Of several
/// occurrences the last one counts, as for any decoder (Protocol Buffers encoding, "Last One Wins"); this
/// includes repeated occurrences of the messages on the path.
///
/// # Errors
///
/// [`MalformedMessage`] if the message, or one on the path, cannot be decoded.
pub fn find_field<'m>(message: &'m [u8], path: &[u32]) -> Result<Option<FieldValue<'m>>, MalformedMessage> {
    let Some((wanted, rest)) = path.split_first() else { return Ok(None) };
    let mut buf = message;
    let mut found = None;
    while !buf.is_empty() {
        let (tag, wire) = decode_key(&mut buf)?;
        if tag != *wanted {
            skip_field(wire, tag, &mut buf, DecodeContext::default())?;
            continue;
        }
        let before = buf;
        match (wire, rest.is_empty()) {
            (WireType::LengthDelimited, leaf) => {
                let length = decode_varint(&mut buf)?;
                let at = before.len() - buf.len();
                let end = usize::try_from(length).ok().and_then(|n| at.checked_add(n));
                let inner = end.and_then(|end| before.get(at..end)).ok_or(MalformedMessage)?;
                buf = &before[at + inner.len()..];
                found =
                    if leaf { Some(FieldValue::Bytes(inner)) } else { find_field(inner, rest)?.or(found) };
            }
            (WireType::Varint, true) => found = Some(FieldValue::Number(decode_varint(&mut buf)?)),
            (WireType::ThirtyTwoBit, true) => {
                let (bytes, left) = buf.split_first_chunk::<4>().ok_or(MalformedMessage)?;
                found = Some(FieldValue::Number(u32::from_le_bytes(*bytes).into()));
                buf = left;
            }
            (WireType::SixtyFourBit, true) => {
                let (bytes, left) = buf.split_first_chunk::<8>().ok_or(MalformedMessage)?;
                found = Some(FieldValue::Number(u64::from_le_bytes(*bytes)));
                buf = left;
            }
            _ => skip_field(wire, tag, &mut buf, DecodeContext::default())?,
        }
    }
    Ok(found)
}

/// Returns the stable hash of a key: 64-bit FNV-1a, the same in every version and on every machine.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// Returns the first message of a call, decompressed. `compressed` is its compressed flag (gRPC over HTTP/2),
/// `encoding` the call's `grpc-encoding`, and `max_bytes` the largest size that it may decompress to.
///
/// # Errors
///
/// [`ShardError::TooLarge`], [`ShardError::UnsupportedEncoding`], or [`ShardError::Unusable`] for corrupt
/// data.
pub fn first_message<'m>(
    message: &'m [u8],
    compressed: bool,
    encoding: Option<&str>,
    max_bytes: usize,
) -> Result<std::borrow::Cow<'m, [u8]>, ShardError> {
    match (compressed, encoding) {
        (false, _) => Ok(message.into()),
        (true, Some("identity")) => Ok(message.into()),
        (true, Some("gzip")) => {
            let mut out = Vec::new();
            // Decompresses at most one byte beyond the limit, which is enough to distinguish a decompression
            // bomb from a message that just fits.
            let read = flate2::read::GzDecoder::new(message).take(max_bytes as u64 + 1).read_to_end(&mut out);
            match read {
                Ok(n) if n > max_bytes => Err(ShardError::TooLarge),
                Ok(_) => Ok(out.into()),
                Err(_) => Err(ShardError::Unusable("the first message".into())),
            }
        }
        (true, other) => Err(ShardError::UnsupportedEncoding(other.unwrap_or("none").to_owned())),
    }
}
