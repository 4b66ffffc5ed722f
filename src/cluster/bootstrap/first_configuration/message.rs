//! Messages between the initial members of a cluster without a log. Tags and the numbers of the kinds must
//! not change.
/// An initial member with its incarnation, as proposed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InitialMember {
    /// The name in the operator's file.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The incarnation of the process that takes part.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The zone announced by the member itself.
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// Identifies a proposal. A later proposal compares greater, because incarnations increase with each start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Ballot {
    /// The leader's incarnation.
    #[prost(uint64, tag = "1")]
    pub leader: u64,
    /// The number of the proposal within that incarnation, starting at 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The kind of a [`ConfigurationMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks whether the configuration of epoch 1 is decided.
    Query = 0,
    /// The leader proposes `members` in `ballot`; no proposal up to `superseded` was decided.
    Propose = 1,
    /// The proposal of `ballot` is accepted.
    Accepted = 2,
    /// The proposal is rejected: the sender keeps `members` of the ballot `superseded`.
    Rejected = 3,
    /// Epoch 1 consists of `members`.
    Decided = 4,
}

/// One message. The [`MessageKind`] determines which fields are used.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigurationMessage {
    /// The number of a [`MessageKind`].
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// The ballot of the proposal that the message refers to.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The ballot of an earlier proposal.
    #[prost(message, required, tag = "3")]
    pub superseded: Ballot,
    /// The members, sorted by name.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<InitialMember>,
}

impl ConfigurationMessage {
    pub(super) fn query() -> ConfigurationMessage {
        ConfigurationMessage { kind: MessageKind::Query.into(), ..ConfigurationMessage::default() }
    }

    pub(super) fn propose(
        ballot: Ballot,
        superseded: Ballot,
        members: &[InitialMember],
    ) -> ConfigurationMessage {
        ConfigurationMessage {
            kind: MessageKind::Propose.into(),
            ballot,
            superseded,
            members: members.to_vec(),
        }
    }

    pub(super) fn accepted(ballot: Ballot) -> ConfigurationMessage {
        let kind = MessageKind::Accepted.into();
        ConfigurationMessage { kind, ballot, ..ConfigurationMessage::default() }
    }

    pub(super) fn rejected(ballot: Ballot, accepted: AcceptedProposal) -> ConfigurationMessage {
        let kind = MessageKind::Rejected.into();
        ConfigurationMessage { kind, ballot, superseded: accepted.ballot, members: accepted.members }
    }

    pub(super) fn decided(members: &[InitialMember]) -> ConfigurationMessage {
        let kind = MessageKind::Decided.into();
        ConfigurationMessage { kind, members: members.to_vec(), ..ConfigurationMessage::default() }
    }
}

/// The proposal that a member has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AcceptedProposal {
    pub ballot: Ballot,
    pub members: Vec<InitialMember>,
}
