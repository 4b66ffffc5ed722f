//! The initial members of a cluster that has a log.
use std::rc::Rc;

use prost::Message as _;

use crate::cluster::consensus_log::{
    decode_voter, encode_voter, fnv1a, splitmix64, wire, DecodeError, Voter, MAX_MEMBERS,
};

/// The initial members with their incarnations and disks, sorted by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMembers(Rc<[Voter]>);

/// The stored form. Tags must not change, because stores written by earlier versions contain them.
#[derive(Clone, PartialEq, prost::Message)]
struct WireMembers {
    #[prost(message, repeated, tag = "1")]
    voters: Vec<wire::Voter>,
}

impl InitialMembers {
    /// Creates a set of initial members, sorting `voters` by name.
    pub fn new(mut voters: Vec<Voter>) -> InitialMembers {
        voters.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        InitialMembers(voters.into())
    }

    /// Returns the members, sorted by name.
    pub fn voters(&self) -> &[Voter] {
        &self.0
    }

    /// Returns the id of the cluster `name` with these members. A different incarnation or disk of any member
    /// gives a different id. Never 0.
    pub fn cluster_id(&self, name: &str) -> u64 {
        splitmix64(fnv1a(name.as_bytes()) ^ splitmix64(fnv1a(&self.encode()))).max(1)
    }

    pub(super) fn contains(&self, name: &str, disk_id: u64) -> bool {
        self.0.iter().any(|voter| &*voter.member.id.name == name && voter.disk_id == disk_id)
    }

    /// Returns the names of the members that `other` does not contain with the same disk.
    pub(super) fn names_missing_from(&self, other: &InitialMembers) -> Vec<Rc<str>> {
        let missing = |voter: &&Voter| !other.contains(&voter.member.id.name, voter.disk_id);
        self.0.iter().filter(missing).map(|voter| voter.member.id.name.clone()).collect()
    }

    /// Encodes the members for storage and for messages.
    pub fn encode(&self) -> Vec<u8> {
        WireMembers { voters: self.0.iter().map(encode_voter).collect() }.encode_to_vec()
    }

    /// Decodes the output of [`InitialMembers::encode`]. The caller must have limited the size of `bytes`.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the bytes are not a valid set of members, or contain more than
    /// [`MAX_MEMBERS`].
    pub fn decode(bytes: &[u8]) -> Result<InitialMembers, DecodeError> {
        let voters = WireMembers::decode(bytes)?.voters;
        if voters.len() > MAX_MEMBERS {
            let reason = format!("too many members: {}, limit {MAX_MEMBERS}", voters.len());
            return Err(DecodeError::Undecodable(reason));
        }
        let voters = voters.into_iter().map(decode_voter).collect::<Result<_, _>>()?;
        Ok(InitialMembers::new(voters))
    }
}
