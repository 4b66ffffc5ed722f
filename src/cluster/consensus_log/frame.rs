//! Framing of messages between voters: version (1 byte), cluster id and checksum (8 bytes each, big-endian),
//! Raft message.
use protobuf::Message as _;
use raft::eraftpb::Message;

use super::error::ReceiveError;
use super::hash::fnv1a;

/// Version of the format, the first byte of a frame.
pub(super) const VERSION: u8 = 1;
/// Offset of the checksum, which follows the cluster id.
const CHECKSUM_AT: usize = 1 + 8;
/// Size of the header: version, cluster id and checksum.
pub(super) const HEADER_BYTES: usize = CHECKSUM_AT + 8;

pub(super) fn encode(cluster_id: u64, message: &Message) -> Result<Vec<u8>, protobuf::ProtobufError> {
    let body = message.write_to_bytes()?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&cluster_id.to_be_bytes());
    bytes.extend_from_slice(&fnv1a(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a frame. The size is checked before anything is decoded, because a message of empty entries
/// decodes to about sixty times its size.
pub(super) fn decode(cluster_id: u64, max_bytes: usize, bytes: &[u8]) -> Result<Message, ReceiveError> {
    if bytes.len() > max_bytes {
        return Err(ReceiveError::TooLarge { bytes: bytes.len(), max_bytes });
    }
    let too_short = || ReceiveError::TooShort(bytes.len());
    let number = |field: &[u8]| field.try_into().map(u64::from_be_bytes).map_err(|_| too_short());
    let version = bytes.first().ok_or_else(too_short)?;
    let sender_cluster = bytes.get(1..CHECKSUM_AT).ok_or_else(too_short)?;
    let checksum = bytes.get(CHECKSUM_AT..HEADER_BYTES).ok_or_else(too_short)?;
    let body = bytes.get(HEADER_BYTES..).ok_or_else(too_short)?;
    if *version != VERSION {
        return Err(ReceiveError::UnsupportedVersion(*version));
    }
    let sender_cluster = number(sender_cluster)?;
    if sender_cluster != cluster_id {
        return Err(ReceiveError::OtherCluster(sender_cluster));
    }
    if number(checksum)? != fnv1a(body) {
        return Err(ReceiveError::Corrupt);
    }
    Message::parse_from_bytes(body).map_err(|e| ReceiveError::Undecodable(e.to_string()))
}
