//! Encoding of commands and voters for messages and storage. The version is 1; a member rejects any other.
use std::net::SocketAddr;

use prost::Message as _;

use super::command::{Command, ProposalId, Voter};
use crate::cluster::{Member, MemberId};

/// Version of the command encoding.
const VERSION: u32 = 1;

/// Error for bytes that are not a command, membership or voter of this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not the expected protobuf message or contain invalid values; contains the reason.
    #[error("cannot decode: {0}")]
    Undecodable(String),
    /// The bytes were written by another version of the program; contains that version.
    #[error("unsupported version {0}, expected {known}", known = VERSION)]
    UnsupportedVersion(u32),
    /// A required field is missing; contains its name.
    #[error("missing field: {0}")]
    MissingField(&'static str),
    /// The text is not an IP address with a port.
    #[error("invalid address '{0}'")]
    InvalidAddress(String),
}

impl From<prost::DecodeError> for DecodeError {
    fn from(error: prost::DecodeError) -> DecodeError {
        DecodeError::Undecodable(error.to_string())
    }
}

/// The protobuf messages. Field tags and types must not change, because data of earlier versions is read with
/// them.
pub(in crate::cluster) mod wire {
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Voter {
        #[prost(string, tag = "1")]
        pub name: String,
        #[prost(fixed64, tag = "2")]
        pub incarnation: u64,
        #[prost(fixed64, tag = "3")]
        pub disk_id: u64,
        #[prost(string, tag = "4")]
        pub zone: String,
        #[prost(string, tag = "5")]
        pub address: String,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Admit {
        #[prost(message, optional, tag = "1")]
        pub voter: Option<Voter>,
        #[prost(uint64, tag = "2")]
        pub known_epoch: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct MemberId {
        #[prost(string, tag = "1")]
        pub name: String,
        #[prost(fixed64, tag = "2")]
        pub incarnation: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct ClosedTimestamp {
        #[prost(uint64, tag = "1")]
        pub ms: u64,
        #[prost(uint32, tag = "2")]
        pub logical: u32,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Command {
        #[prost(message, tag = "4")]
        Admit(Admit),
        #[prost(message, tag = "5")]
        Leave(MemberId),
        #[prost(uint64, tag = "6")]
        CloseEpoch(u64),
        #[prost(bytes, tag = "7")]
        Layout(Vec<u8>),
        #[prost(bytes, tag = "8")]
        Plan(Vec<u8>),
        #[prost(message, tag = "9")]
        ClosedTimestamp(ClosedTimestamp),
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Entry {
        #[prost(uint32, tag = "1")]
        pub version: u32,
        #[prost(fixed64, tag = "2")]
        pub proposer: u64,
        #[prost(uint64, tag = "3")]
        pub sequence: u64,
        #[prost(oneof = "Command", tags = "4, 5, 6, 7, 8, 9")]
        pub command: Option<Command>,
    }
}

pub(in crate::cluster) fn encode_voter(voter: &Voter) -> wire::Voter {
    wire::Voter {
        name: voter.member.id.name.to_string(),
        incarnation: voter.member.id.incarnation,
        disk_id: voter.disk_id,
        zone: voter.member.zone.to_string(),
        address: voter.member.address.to_string(),
    }
}

pub(in crate::cluster) fn decode_voter(voter: wire::Voter) -> Result<Voter, DecodeError> {
    let parsed: Result<SocketAddr, _> = voter.address.parse();
    let address = parsed.map_err(|_| DecodeError::InvalidAddress(voter.address.clone()))?;
    let id = MemberId::new(&voter.name, voter.incarnation);
    Ok(Voter { member: Member { id, zone: voter.zone.as_str().into(), address }, disk_id: voter.disk_id })
}

/// Encodes an entry of the log.
pub fn encode_command(id: ProposalId, command: &Command) -> Vec<u8> {
    let command = match command {
        Command::Admit { voter, known_epoch } => {
            wire::Command::Admit(wire::Admit { voter: Some(encode_voter(voter)), known_epoch: *known_epoch })
        }
        Command::Leave(id) => {
            wire::Command::Leave(wire::MemberId { name: id.name.to_string(), incarnation: id.incarnation })
        }
        Command::CloseEpoch(epoch) => wire::Command::CloseEpoch(*epoch),
        Command::Layout(bytes) => wire::Command::Layout(bytes.to_vec()),
        Command::Plan(bytes) => wire::Command::Plan(bytes.to_vec()),
        Command::ClosedTimestamp { ms, logical } => {
            wire::Command::ClosedTimestamp(wire::ClosedTimestamp { ms: *ms, logical: *logical })
        }
    };
    let entry = wire::Entry {
        version: VERSION,
        proposer: id.proposer,
        sequence: id.sequence,
        command: Some(command),
    };
    entry.encode_to_vec()
}

/// Decodes an entry of the log. The caller must have limited the size of `bytes`.
///
/// # Errors
/// Returns a [`DecodeError`] if the bytes are of another version or not a valid command.
pub fn decode_command(bytes: &[u8]) -> Result<(ProposalId, Command), DecodeError> {
    let entry = wire::Entry::decode(bytes)?;
    if entry.version != VERSION {
        return Err(DecodeError::UnsupportedVersion(entry.version));
    }
    let command = match entry.command.ok_or(DecodeError::MissingField("command"))? {
        wire::Command::Admit(admit) => {
            let voter = admit.voter.ok_or(DecodeError::MissingField("member"))?;
            Command::Admit { voter: decode_voter(voter)?, known_epoch: admit.known_epoch }
        }
        wire::Command::Leave(id) => Command::Leave(MemberId::new(&id.name, id.incarnation)),
        wire::Command::CloseEpoch(epoch) => Command::CloseEpoch(epoch),
        wire::Command::Layout(bytes) => Command::Layout(bytes.into()),
        wire::Command::Plan(bytes) => Command::Plan(bytes.into()),
        wire::Command::ClosedTimestamp(closed) => {
            Command::ClosedTimestamp { ms: closed.ms, logical: closed.logical }
        }
    };
    Ok((ProposalId { proposer: entry.proposer, sequence: entry.sequence }, command))
}
