//! Reads a key out of a first message without its schema, by prost's wire primitives, and hashes keys.
use std::hash::Hasher;
use std::io::Read;

use prost::encoding::{decode_key, decode_varint, skip_field, DecodeContext, WireType};
use prost::DecodeError;

use super::ShardError;

/// A field's value as it stands on the wire.
#[derive(Debug, PartialEq, Eq)]
pub enum FieldValue<'m> {
    /// Varint, fixed32 or fixed64, unsigned.
    Number(u64),
    /// Length-delimited: text, bytes or a message.
    Bytes(&'m [u8]),
}

/// Bytes that are no protobuf message.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl From<DecodeError> for MalformedMessage {
    fn from(_: DecodeError) -> Self {
        MalformedMessage
    }
}

/// The field at `path` of a protobuf message: the last one counts where there are several, as for any reader
/// (Protocol Buffers encoding, "Last One Wins"), over all occurrences of the messages that lead to it.
pub fn find_field<'m>(message: &'m [u8], path: &[u32]) -> Result<Option<FieldValue<'m>>, MalformedMessage> {
    let Some((wanted, rest)) = path.split_first() else { return Ok(None) };
    let (mut buf, mut found) = (message, None);
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
                match leaf {
                    true => found = Some(FieldValue::Bytes(inner)),
                    false => found = find_field(inner, rest)?.or(found),
                }
            }
            (WireType::Varint, true) => found = Some(FieldValue::Number(decode_varint(&mut buf)?)),
            (WireType::ThirtyTwoBit, true) => {
                let (bytes, left) = buf.split_first_chunk::<4>().ok_or(MalformedMessage)?;
                (found, buf) = (Some(FieldValue::Number(u32::from_le_bytes(*bytes).into())), left);
            }
            (WireType::SixtyFourBit, true) => {
                let (bytes, left) = buf.split_first_chunk::<8>().ok_or(MalformedMessage)?;
                (found, buf) = (Some(FieldValue::Number(u64::from_le_bytes(*bytes))), left);
            }
            _ => skip_field(wire, tag, &mut buf, DecodeContext::default())?,
        }
    }
    Ok(found)
}

/// The stable hash of a key: FNV-1a of 64 bits, the same in every version and on every machine.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// The first message of a call as its sender meant it. `packed` is its compressed flag, `encoding` the call's
/// `grpc-encoding`; `most` bounds what it may come to.
pub fn first_message<'m>(
    message: &'m [u8],
    packed: bool,
    encoding: Option<&str>,
    most: usize,
) -> Result<std::borrow::Cow<'m, [u8]>, ShardError> {
    match (packed, encoding) {
        (false, _) => Ok(message.into()),
        (true, Some("identity")) => Ok(message.into()),
        (true, Some("gzip")) => {
            let mut out = Vec::new();
            // One byte more than may be tells a bomb from what just fits; no more than that is ever unpacked.
            let read = flate2::read::GzDecoder::new(message).take(most as u64 + 1).read_to_end(&mut out);
            match read {
                Ok(n) if n > most => Err(ShardError::TooLarge),
                Ok(_) => Ok(out.into()),
                Err(_) => Err(ShardError::Unusable("the first message".into())),
            }
        }
        (true, other) => Err(ShardError::UnsupportedEncoding(other.unwrap_or("none").to_owned())),
    }
}
