//! The initial members of a cluster that keeps a log.
use std::rc::Rc;

use prost::Message as _;

use crate::cluster::consensus_log::{
    decode_voter, encode_voter, fnv, mix, wire, DecodeError, Voter, MAX_MEMBERS,
};

/// The initial members with their incarnations and disks, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMembers(Rc<[Voter]>);

/// Tags are fixed: stores of earlier versions hold this.
#[derive(Clone, PartialEq, prost::Message)]
struct WireMembers {
    #[prost(message, repeated, tag = "1")]
    voters: Vec<wire::Voter>,
}

impl InitialMembers {
    /// Sorts `voters` by name.
    pub fn new(mut voters: Vec<Voter>) -> InitialMembers {
        voters.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        InitialMembers(voters.into())
    }

    /// The members, by name.
    pub fn voters(&self) -> &[Voter] {
        &self.0
    }

    /// The id of the cluster `name` with these members: another incarnation or disk gives another id. Never
    /// 0.
    pub fn cluster_id(&self, name: &str) -> u64 {
        mix(fnv(name.as_bytes()) ^ mix(fnv(&self.encode()))).max(1)
    }

    pub(super) fn contains(&self, name: &str, disk_id: u64) -> bool {
        self.0.iter().any(|voter| &*voter.member.id.name == name && voter.disk_id == disk_id)
    }

    /// The names of those that `seen` does not have with the same disk.
    pub(super) fn names_missing_from(&self, seen: &InitialMembers) -> Vec<Rc<str>> {
        let missing = |voter: &&Voter| !seen.contains(&voter.member.id.name, voter.disk_id);
        self.0.iter().filter(missing).map(|voter| voter.member.id.name.clone()).collect()
    }

    /// The bytes for the disk and for messages.
    pub fn encode(&self) -> Vec<u8> {
        WireMembers { voters: self.0.iter().map(encode_voter).collect() }.encode_to_vec()
    }

    /// Reads what [`InitialMembers::encode`] gave. The caller has bounded the bytes.
    ///
    /// # Errors
    /// [`DecodeError`] for bytes that are no members, or more than [`MAX_MEMBERS`].
    pub fn decode(bytes: &[u8]) -> Result<InitialMembers, DecodeError> {
        let voters = WireMembers::decode(bytes)?.voters;
        if voters.len() > MAX_MEMBERS {
            let reason = format!("{} members, {MAX_MEMBERS} at most", voters.len());
            return Err(DecodeError::Undecodable(reason));
        }
        let voters = voters.into_iter().map(decode_voter).collect::<Result<_, _>>()?;
        Ok(InitialMembers::new(voters))
    }
}
