//! What is agreed on, and its form in an entry. Version 1; another version is refused by the member that reads it.
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use prost::Message as _;

use crate::cluster::{Member, MemberId};

/// Version of the form of commands and of the roster.
const VERSION: u32 = 1;

/// A member with the disk that it votes from. Its incarnation is the life of its process: it ends with the process. The
/// disk is the life of its store: it ends with the file. A voter of the log is one name on one disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    pub member: Member,
    pub disk_id: u64,
}

impl Voter {
    pub fn voter_id(&self) -> u64 {
        voter_id(&self.member.id.name, self.disk_id)
    }
}

/// The number of a voter: another disk is another voter. Never 0, which the log takes for nobody.
pub fn voter_id(name: &str, disk: u64) -> u64 {
    mix(fnv(name.as_bytes()) ^ mix(disk)).max(1)
}

/// The finisher of SplitMix64: spreads what FNV leaves close together.
pub(in crate::cluster) fn mix(x: u64) -> u64 {
    let z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub(in crate::cluster) fn fnv(bytes: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A life of a name counts from now on, in the place of the one before. `base` is the epoch that the asker knew: an
    /// ask that was under way while another life of the name was admitted changes nothing.
    Admit {
        voter: Voter,
        known_epoch: u64,
    },
    /// That life counts no more.
    Leave(MemberId),
    /// All work pinned in this epoch and in those before it is over.
    CloseEpoch(u64),
    Layout(Rc<[u8]>),
    Plan(Rc<[u8]>),
    /// Closed time: milliseconds since 1970 and the logical part.
    ClosedTimestamp {
        ms: u64,
        logical: u32,
    },
}

/// The proposer's own name of a proposal: its voter, and a number that it never gives twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    pub proposer: u64,
    pub sequence: u64,
}

/// Bytes that are no command, roster or seat of this version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Undecodable(String),
    UnsupportedVersion(u32),
    MissingField(&'static str),
    InvalidAddress(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Undecodable(why) => write!(f, "undecodable: {why}"),
            DecodeError::UnsupportedVersion(v) => write!(f, "version {v}, {VERSION} is known"),
            DecodeError::MissingField(what) => write!(f, "without {what}"),
            DecodeError::InvalidAddress(a) => write!(f, "'{a}' is no address"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<prost::DecodeError> for DecodeError {
    fn from(e: prost::DecodeError) -> DecodeError {
        DecodeError::Undecodable(e.to_string())
    }
}

/// The form of these on the wire and on disk.
pub(in crate::cluster) mod form {
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Voter {
        #[prost(string, tag = "1")]
        pub name: String,
        #[prost(fixed64, tag = "2")]
        pub incarnation: u64,
        #[prost(fixed64, tag = "3")]
        pub disk: u64,
        #[prost(string, tag = "4")]
        pub zone: String,
        #[prost(string, tag = "5")]
        pub address: String,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Admit {
        #[prost(message, optional, tag = "1")]
        pub seat: Option<Voter>,
        #[prost(uint64, tag = "2")]
        pub base: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Life {
        #[prost(string, tag = "1")]
        pub name: String,
        #[prost(fixed64, tag = "2")]
        pub incarnation: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Closed {
        #[prost(uint64, tag = "1")]
        pub ms: u64,
        #[prost(uint32, tag = "2")]
        pub logical: u32,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "4")]
        Admit(Admit),
        #[prost(message, tag = "5")]
        Leave(Life),
        #[prost(uint64, tag = "6")]
        CloseEpoch(u64),
        #[prost(bytes, tag = "7")]
        Layout(Vec<u8>),
        #[prost(bytes, tag = "8")]
        Plan(Vec<u8>),
        #[prost(message, tag = "9")]
        Closed(Closed),
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Entry {
        #[prost(uint32, tag = "1")]
        pub version: u32,
        #[prost(fixed64, tag = "2")]
        pub by: u64,
        #[prost(uint64, tag = "3")]
        pub serial: u64,
        #[prost(oneof = "Kind", tags = "4, 5, 6, 7, 8, 9")]
        pub kind: Option<Kind>,
    }
}

pub(in crate::cluster) fn seat_out(seat: &Voter) -> form::Voter {
    form::Voter {
        name: seat.member.id.name.to_string(),
        incarnation: seat.member.id.incarnation,
        disk: seat.disk_id,
        zone: seat.member.zone.to_string(),
        address: seat.member.address.to_string(),
    }
}

pub(in crate::cluster) fn seat_in(seat: form::Voter) -> Result<Voter, DecodeError> {
    let address: SocketAddr =
        seat.address.parse().map_err(|_| DecodeError::InvalidAddress(seat.address.clone()))?;
    let id = MemberId::new(&seat.name, seat.incarnation);
    Ok(Voter { member: Member { id, zone: seat.zone.as_str().into(), address }, disk_id: seat.disk })
}

pub fn encode(id: ProposalId, command: &Command) -> Vec<u8> {
    let kind = match command {
        Command::Admit { voter, known_epoch } => {
            form::Kind::Admit(form::Admit { seat: Some(seat_out(voter)), base: *known_epoch })
        }
        Command::Leave(id) => {
            form::Kind::Leave(form::Life { name: id.name.to_string(), incarnation: id.incarnation })
        }
        Command::CloseEpoch(epoch) => form::Kind::CloseEpoch(*epoch),
        Command::Layout(bytes) => form::Kind::Layout(bytes.to_vec()),
        Command::Plan(bytes) => form::Kind::Plan(bytes.to_vec()),
        Command::ClosedTimestamp { ms, logical } => {
            form::Kind::Closed(form::Closed { ms: *ms, logical: *logical })
        }
    };
    form::Entry { version: VERSION, by: id.proposer, serial: id.sequence, kind: Some(kind) }.encode_to_vec()
}

pub fn decode(bytes: &[u8]) -> Result<(ProposalId, Command), DecodeError> {
    let entry = form::Entry::decode(bytes)?;
    if entry.version != VERSION {
        return Err(DecodeError::UnsupportedVersion(entry.version));
    }
    let command = match entry.kind.ok_or(DecodeError::MissingField("a command"))? {
        form::Kind::Admit(a) => Command::Admit {
            voter: seat_in(a.seat.ok_or(DecodeError::MissingField("a member"))?)?,
            known_epoch: a.base,
        },
        form::Kind::Leave(l) => Command::Leave(MemberId::new(&l.name, l.incarnation)),
        form::Kind::CloseEpoch(epoch) => Command::CloseEpoch(epoch),
        form::Kind::Layout(bytes) => Command::Layout(bytes.into()),
        form::Kind::Plan(bytes) => Command::Plan(bytes.into()),
        form::Kind::Closed(c) => Command::ClosedTimestamp { ms: c.ms, logical: c.logical },
    };
    Ok((ProposalId { proposer: entry.by, sequence: entry.serial }, command))
}
