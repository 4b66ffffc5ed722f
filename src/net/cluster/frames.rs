//! What goes over a connection between two members: a four-byte length, a byte for the kind and the rest.
use std::fmt;

use prost::Message as _;

use crate::cluster::bootstrap::first_configuration::ConfigurationMessage;
use crate::cluster::configuration::ConfigError;
use crate::cluster::takeover::{Message, MessageError};
use crate::cluster::{Configuration, Member, MemberId};

/// The version of all that members say to each other.
pub const VERSION: u32 = 1;
/// The largest frame before the other side is known: a hello's names at their longest, and room.
pub const MOST_HELLO: usize = 512;

/// The first frame of each side.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub cluster: String,
    #[prost(uint32, tag = "2")]
    pub version: u32,
    #[prost(string, tag = "3")]
    pub name: String,
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// A frame that was read whole.
#[derive(Debug, PartialEq)]
pub enum Frame {
    Hello(Hello),
    Work(Message),
    Founding(ConfigurationMessage),
}

const HELLO: u8 = 0;
const WORK: u8 = 1;
const FOUNDING: u8 = 3;

/// Why a connection is of no use; nothing of what came over it is taken over.
#[derive(Debug, PartialEq)]
pub enum FrameError {
    Length(usize),
    Kind(u8),
    Spoilt(prost::DecodeError),
    Message(MessageError),
    /// Anything but a hello in its place, or a hello out of it.
    Order,
    Cluster(String),
    Version(u32),
    Unknown(ConfigError),
    NotListed(String),
    /// It calls itself as this member, or as another one than was dialled.
    Name(String),
    /// A later life of that member was seen.
    Outlived(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "a frame of {n} bytes"),
            FrameError::Kind(k) => write!(f, "a frame of the unknown kind {k}"),
            FrameError::Spoilt(e) => write!(f, "a frame that cannot be read: {e}"),
            FrameError::Message(e) => write!(f, "{e}"),
            FrameError::Order => f.write_str("a hello that is missing or out of place"),
            FrameError::Cluster(name) => write!(f, "of another cluster, {name:?}"),
            FrameError::Version(v) => write!(f, "of version {v}, this is {VERSION}"),
            FrameError::Unknown(e) => write!(f, "{e}"),
            FrameError::NotListed(name) => write!(f, "'{name}' is no member"),
            FrameError::Name(name) => write!(f, "'{name}' is not the name of a member there"),
            FrameError::Outlived(id) => write!(f, "{id} is an earlier life of that member"),
        }
    }
}

impl std::error::Error for FrameError {}

/// The frame at the front of `bytes` and its length, if it is whole; `most` bounds what its length may say. Guards
/// against waiting, and making room, for what cannot become a frame.
pub fn parse(bytes: &[u8], most: usize) -> Result<Option<(Frame, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > most {
        return Err(FrameError::Length(length));
    }
    match rest.first() {
        Some(kind) if ![HELLO, WORK, FOUNDING].contains(kind) => return Err(FrameError::Kind(*kind)),
        _ => {}
    }
    let Some((kind, rest)) = rest.get(..length).and_then(<[u8]>::split_first) else { return Ok(None) };
    let frame = match *kind {
        HELLO => Frame::Hello(Hello::decode(rest).map_err(FrameError::Spoilt)?),
        WORK => Frame::Work(Message::from_bytes(rest).map_err(FrameError::Message)?),
        _ => Frame::Founding(ConfigurationMessage::decode(rest).map_err(FrameError::Spoilt)?),
    };
    Ok(Some((frame, 4 + length)))
}

impl Frame {
    pub fn bytes(&self) -> Vec<u8> {
        let (kind, body) = match self {
            Frame::Hello(hello) => (HELLO, hello.encode_to_vec()),
            Frame::Work(message) => (WORK, message.to_bytes()),
            Frame::Founding(note) => (FOUNDING, note.encode_to_vec()),
        };
        let mut out = Vec::with_capacity(5 + body.len());
        out.extend(((body.len() + 1) as u32).to_be_bytes());
        out.push(kind);
        out.extend(body);
        out
    }
}

impl Hello {
    /// Whether it may come from a member of `cluster`, and from whom.
    pub fn check(&self, cluster: &str, members: &[Member]) -> Result<MemberId, FrameError> {
        if self.cluster != cluster {
            return Err(FrameError::Cluster(self.cluster.clone()));
        }
        if self.version != VERSION {
            return Err(FrameError::Version(self.version));
        }
        let id = MemberId::new(&self.name, self.incarnation);
        // Guards the log's lines: a name goes into them once it is known to be one.
        let as_told = Member { id: id.clone(), zone: "".into(), address: ([0, 0, 0, 0], 0).into() };
        Configuration::new(0, vec![as_told]).map_err(FrameError::Unknown)?;
        match members.iter().any(|m| m.id.name == id.name) {
            true => Ok(id),
            false => Err(FrameError::NotListed(self.name.clone())),
        }
    }
}
