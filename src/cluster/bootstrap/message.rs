//! The message by which members announce their own state while a cluster with a log is bootstrapped.
use prost::Message as _;

use super::members::InitialMembers;
use super::BootstrapState;
use crate::cluster::consensus_log::{decode_voter, encode_voter, wire, DecodeError, Voter};

/// A member's announcement of its own state, sent on each connection and at each tick while it bootstraps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapMessage {
    /// The sender.
    pub voter: Voter,
    /// The sender's progress; durable at the sender before the message is sent.
    pub state: BootstrapState,
}

/// The wire form. Tags must not change, because members of earlier versions send them.
#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(message, optional, tag = "1")]
    voter: Option<wire::Voter>,
    #[prost(bytes = "vec", optional, tag = "2")]
    accepted: Option<Vec<u8>>,
    /// The cluster's id; 0 if it is not known yet.
    #[prost(fixed64, tag = "3")]
    cluster_id: u64,
}

impl BootstrapMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut message =
            WireMessage { voter: Some(encode_voter(&self.voter)), accepted: None, cluster_id: 0 };
        match &self.state {
            BootstrapState::Empty => {}
            BootstrapState::Accepted(members) => message.accepted = Some(members.encode()),
            BootstrapState::Bootstrapped(cluster_id) => message.cluster_id = *cluster_id,
        }
        message.encode_to_vec()
    }

    /// Decodes the output of [`BootstrapMessage::encode`]. The caller must have limited the size of `bytes`.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapMessage, DecodeError> {
        let message = WireMessage::decode(bytes)?;
        let voter = decode_voter(message.voter.ok_or(DecodeError::MissingField("member"))?)?;
        let state = match (message.accepted, message.cluster_id) {
            (None, 0) => BootstrapState::Empty,
            (Some(members), 0) => BootstrapState::Accepted(InitialMembers::decode(&members)?),
            (None, cluster_id) => BootstrapState::Bootstrapped(cluster_id),
            _ => return Err(DecodeError::Undecodable("state is both accepted and bootstrapped".into())),
        };
        Ok(BootstrapMessage { voter, state })
    }
}
