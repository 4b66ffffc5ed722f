//! Frames on a connection between two members: a four-byte big-endian length, one byte for the frame kind,
//! and a protobuf body.
//!
//! Lengths are checked against a bound before anything is decoded. The frame kinds and the prost tags are
//! part of the wire format and must not change.
#![warn(missing_docs)]
use prost::Message as _;

use crate::cluster::bootstrap::first_configuration::ConfigurationMessage;
use crate::cluster::configuration::ConfigError;
use crate::cluster::takeover::{Message, MessageError};
use crate::cluster::{Configuration, Member, MemberId};

/// The version of the protocol between members. Members with different versions do not communicate.
pub const VERSION: u32 = 1;
/// The maximum length of a frame before the peer is identified, in bytes. Fits a hello with the longest
/// names and some margin.
pub const MAX_HELLO_BYTES: usize = 512;

/// The size of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The first frame that each side of a connection sends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// The name of the cluster.
    #[prost(string, tag = "1")]
    pub cluster: String,
    /// The sender's [`VERSION`].
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// The sender's name.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The sender's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// A complete frame.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// The identity of the peer.
    Hello(Hello),
    /// A message of the takeover protocol.
    Takeover(Message),
    /// A bootstrap message, which concerns the first configuration.
    Bootstrap(ConfigurationMessage),
}

const HELLO: u8 = 0;
const TAKEOVER: u8 = 1;
const BOOTSTRAP: u8 = 3;

/// Why a connection is closed. The frame in question has had no effect.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length, in bytes, is zero or exceeds the limit.
    #[error("frame length of {0} bytes is out of bounds")]
    InvalidLength(usize),
    /// The frame kind is unknown.
    #[error("unknown frame kind {0}")]
    UnknownKind(u8),
    /// The body of the frame cannot be decoded.
    #[error("malformed frame: {0}")]
    Malformed(prost::DecodeError),
    /// The frame carries an invalid message of the takeover protocol.
    #[error("{0}")]
    InvalidMessage(MessageError),
    /// The first frame is not a hello, or a hello arrived later than first.
    #[error("unexpected frame: a hello must come first and only once")]
    UnexpectedFrame,
    /// The peer belongs to another cluster, whose name is given.
    #[error("the peer belongs to another cluster, {0:?}")]
    ClusterMismatch(String),
    /// The peer uses another protocol version, which is given.
    #[error("the peer uses protocol version {0}, expected {version}", version = VERSION)]
    VersionMismatch(u32),
    /// The peer's name is not a valid member name.
    #[error("{0}")]
    InvalidName(ConfigError),
    /// The peer's name is not in the list of configured members.
    #[error("'{0}' is not a configured member")]
    UnknownMember(String),
    /// The peer has this member's own name, or another name than the member that was dialled.
    #[error("'{0}' is not the expected member name")]
    NameMismatch(String),
    /// A later incarnation of this member has already been seen.
    #[error("{0} is an earlier incarnation of the member")]
    StaleIncarnation(String),
}

/// Decodes the frame at the start of `bytes`. Returns the frame and its total length, or `None` if the
/// frame is incomplete. `max_bytes` limits the length of the frame without its length field.
///
/// # Errors
///
/// Returns an error as soon as `bytes` cannot become a valid frame, so that the reader neither waits nor
/// allocates for it: if the length is out of bounds, the kind is unknown, or the body is malformed or
/// invalid.
pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > max_bytes {
        return Err(FrameError::InvalidLength(length));
    }
    if let Some(kind) = rest.first().filter(|kind| ![HELLO, TAKEOVER, BOOTSTRAP].contains(kind)) {
        return Err(FrameError::UnknownKind(*kind));
    }
    let Some((kind, body)) = rest.get(..length).and_then(<[u8]>::split_first) else { return Ok(None) };
    let frame = match *kind {
        HELLO => Frame::Hello(Hello::decode(body).map_err(FrameError::Malformed)?),
        TAKEOVER => Frame::Takeover(Message::from_bytes(body).map_err(FrameError::InvalidMessage)?),
        _ => Frame::Bootstrap(ConfigurationMessage::decode(body).map_err(FrameError::Malformed)?),
    };
    Ok(Some((frame, LENGTH_BYTES + length)))
}

impl Frame {
    /// Encodes the frame, including its length field.
    pub fn bytes(&self) -> Vec<u8> {
        let (kind, body) = match self {
            Frame::Hello(hello) => (HELLO, hello.encode_to_vec()),
            Frame::Takeover(message) => (TAKEOVER, message.to_bytes()),
            Frame::Bootstrap(message) => (BOOTSTRAP, message.encode_to_vec()),
        };
        let mut encoded = Vec::with_capacity(LENGTH_BYTES + 1 + body.len());
        encoded.extend(((body.len() + 1) as u32).to_be_bytes());
        encoded.push(kind);
        encoded.extend(body);
        encoded
    }
}

impl Hello {
    /// Checks that the sender is one of the `members` of `cluster` and returns its identity.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster name or the protocol version differs, or if the name is invalid or
    /// not in the list of members.
    pub fn check(&self, cluster: &str, members: &[Member]) -> Result<MemberId, FrameError> {
        if self.cluster != cluster {
            return Err(FrameError::ClusterMismatch(self.cluster.clone()));
        }
        if self.version != VERSION {
            return Err(FrameError::VersionMismatch(self.version));
        }
        let id = MemberId::new(&self.name, self.incarnation);
        // Validate the name before it can appear in a log line, so that a peer cannot inject arbitrary
        // text.
        let claimed = Member { id: id.clone(), zone: "".into(), address: ([0, 0, 0, 0], 0).into() };
        Configuration::new(0, vec![claimed]).map_err(FrameError::InvalidName)?;
        if members.iter().any(|m| m.id.name == id.name) {
            Ok(id)
        } else {
            Err(FrameError::UnknownMember(self.name.clone()))
        }
    }
}
