//! Cluster configurations: the agreed set of voting members, and the acceptor group that each configuration
//! assigns to a work item.
//!
//! A [`Configuration`] is immutable. A change of membership produces a new one with a higher epoch.
#![warn(missing_docs)]
use std::hash::Hasher;
use std::rc::Rc;

use fnv::FnvHasher;

use super::{Member, MemberId};

/// Maximum number of acceptors in the group of a work item. Each further acceptor adds a message per query,
/// and five already tolerate the loss of two.
pub const MAX_GROUP_SIZE: usize = 5;

/// Maximum length of a member's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The agreed voting members, sorted by name, with one incarnation of each.
///
/// Invariant: two configurations with the same epoch are equal, because an epoch is the index of its entry in
/// the single replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    epoch: u64,
    members: Rc<[Member]>,
}

/// Reasons why a list of members is not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The list is empty.
    #[error("configuration has no members")]
    Empty,
    /// Two members share this name.
    #[error("duplicate member name '{0}'")]
    DuplicateName(String),
    /// The name is empty, longer than 64 bytes, or contains characters other than letters, digits, `-`, `_`
    /// and `.`.
    #[error("invalid member name '{0}': expected 1 to 64 letters, digits, '-', '_' or '.'")]
    InvalidName(String),
}

impl Configuration {
    /// Creates a configuration from `members`, which may be in any order.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if `members` is empty, a name is invalid, or two members share a name.
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

    /// Returns the epoch: the index of the configuration's entry in the replicated log.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns all members, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member called `name`, in the agreed incarnation.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.id.name == name)
    }

    /// Returns whether exactly this incarnation is a voting member.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.member(&id.name).is_some_and(|m| m.id == *id)
    }

    /// Returns the acceptor group of the work item `key`, chosen by rendezvous hashing (Thaler and
    /// Ravishankar, 1998): the owner first, then the other acceptors by rank. `size` is clamped to
    /// [`MAX_GROUP_SIZE`] and to the number of members.
    ///
    /// Members are taken from different zones while zones without a member in the group remain, so that
    /// losing one zone does not lose a majority. The hash covers names and not incarnations, so a group does
    /// not change when one of its members restarts.
    pub fn group(&self, key: &[u8], size: usize) -> Vec<&Member> {
        let mut ranked: Vec<(u64, &Member)> = self.members.iter().map(|m| (score(key, m), m)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let size = size.clamp(1, MAX_GROUP_SIZE).min(ranked.len());
        let mut group: Vec<&Member> = Vec::with_capacity(size);
        // The number of members that a zone may already have in the group when another one is added. The
        // limit rises only once every zone has reached it.
        for zone_limit in 0..size {
            for (_, member) in &ranked {
                let in_zone = group.iter().filter(|m| m.zone == member.zone).count();
                let is_new = !group.iter().any(|m| m.id == member.id);
                if group.len() < size && in_zone <= zone_limit && is_new {
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
    // FNV-1a alone gives similar names similar scores; the SplitMix64 finalizer spreads them.
    let mut z = hasher.finish().wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
