//! Configurations of the cluster: the agreed list of voting members, and the group of each work item.
//!
//! Pure data: a configuration is never changed, only followed by one of a later epoch.
#![warn(missing_docs)]
use std::hash::Hasher;
use std::rc::Rc;

use fnv::FnvHasher;

use super::{Member, MemberId};

/// The largest group of a work item. A further acceptor costs every query a message, and five already outlive
/// the loss of two.
pub const MAX_GROUP_SIZE: usize = 5;

/// The longest name of a member, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The voting members, as agreed: sorted by name, one incarnation of each.
///
/// Invariant: two configurations of one epoch are equal. It holds because an epoch is the position of its
/// entry in the one replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    epoch: u64,
    members: Rc<[Member]>,
}

/// Why a list of members is not a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// There is no member.
    #[error("no member")]
    Empty,
    /// Two members have this name.
    #[error("member '{0}' is named twice")]
    DuplicateName(String),
    /// A name that is empty, over 64 bytes, or not of letters, digits, `-`, `_` and `.`.
    #[error("'{0}' is no name of a member: 1 to 64 letters, digits, '-', '_' or '.'")]
    InvalidName(String),
}

impl Configuration {
    /// A configuration of these members, in any order.
    ///
    /// # Errors
    ///
    /// There is no member, a name is invalid, or two members have one name.
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Result<Configuration, ConfigError> {
        if members.is_empty() {
            return Err(ConfigError::Empty);
        }
        if let Some(member) = members.iter().find(|m| !is_valid_name(&m.id.name)) {
            return Err(ConfigError::InvalidName(member.id.name.to_string()));
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        if let Some(pair) = members.windows(2).find(|p| p[0].id.name == p[1].id.name) {
            return Err(ConfigError::DuplicateName(pair[0].id.name.to_string()));
        }
        Ok(Configuration { epoch, members: members.into() })
    }

    /// The position of its entry in the replicated log.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// All members, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member of this name, in the incarnation that was agreed on.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.id.name == name)
    }

    /// Whether this very incarnation is a voting member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.member(&id.name).is_some_and(|m| m.id == *id)
    }

    /// The group of a work item, by rendezvous hashing (Thaler and Ravishankar, 1998): its owner first, then
    /// the other acceptors by rank. `size` is bounded by [`MAX_GROUP_SIZE`] and the number of members.
    ///
    /// Zones differ as long as there are further ones, so that no zone alone takes a majority away. Goes by
    /// names and not by incarnations: the group stays as it is when a member of it restarts.
    pub fn group(&self, key: &[u8], size: usize) -> Vec<&Member> {
        let mut ranked: Vec<(u64, &Member)> = self.members.iter().map(|m| (score(key, m), m)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let size = size.clamp(1, MAX_GROUP_SIZE).min(ranked.len());
        let mut group: Vec<&Member> = Vec::with_capacity(size);
        // How many members of the group one zone may have already: raised only once every zone has as many.
        for zone_limit in 0..size {
            for (_, member) in &ranked {
                let of_zone = group.iter().filter(|m| m.zone == member.zone).count();
                let is_new = !group.iter().any(|m| m.id == member.id);
                if group.len() < size && of_zone <= zone_limit && is_new {
                    group.push(member);
                }
            }
        }
        group
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed)
}

fn score(key: &[u8], member: &Member) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(member.id.name.as_bytes());
    hasher.write_u8(0);
    hasher.write(key);
    // FNV-1a alone leaves the scores of similar names close together: the finalizer of SplitMix64 spreads
    // them.
    let mut z = hasher.finish().wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
