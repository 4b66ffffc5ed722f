//! What a member tells the others about itself while a cluster with a log is bootstrapped.
use prost::Message as _;

use super::members::InitialMembers;
use super::BootstrapState;
use crate::cluster::consensus_log::{decode_voter, encode_voter, wire, DecodeError, Voter};

/// A member's own state, sent on each connection and at each tick while it bootstraps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapMessage {
    /// The sender.
    pub voter: Voter,
    /// How far it is; durable at the sender before this was sent.
    pub state: BootstrapState,
}

/// Tags are fixed: members of earlier versions send this.
#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(message, optional, tag = "1")]
    voter: Option<wire::Voter>,
    #[prost(bytes = "vec", optional, tag = "2")]
    accepted: Option<Vec<u8>>,
    /// The cluster's id; 0 before it is known.
    #[prost(fixed64, tag = "3")]
    cluster_id: u64,
}

impl BootstrapMessage {
    /// The bytes of this message.
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

    /// Reads what [`BootstrapMessage::encode`] gave. The caller has bounded the bytes.
    ///
    /// # Errors
    /// [`DecodeError`] for bytes that are no message.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapMessage, DecodeError> {
        let message = WireMessage::decode(bytes)?;
        let voter = decode_voter(message.voter.ok_or(DecodeError::MissingField("a member"))?)?;
        let state = match (message.accepted, message.cluster_id) {
            (None, 0) => BootstrapState::Empty,
            (Some(members), 0) => BootstrapState::Accepted(InitialMembers::decode(&members)?),
            (None, cluster_id) => BootstrapState::Bootstrapped(cluster_id),
            _ => return Err(DecodeError::Undecodable("accepted and bootstrapped at once".into())),
        };
        Ok(BootstrapMessage { voter, state })
    }
}
