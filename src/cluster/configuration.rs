//! Fleet configurations: the agreed list of members that count, and the group of each piece of work.
use std::fmt;
use std::hash::Hasher;
use std::rc::Rc;

use fnv::FnvHasher;

use super::{Member, MemberId};

/// Groups are small: more guards cost every query a message and make no majority safer than this.
pub const MAX_GROUP_SIZE: usize = 5;

/// The members that count, as agreed: sorted by name, one life of each.
///
/// Invariant: two configurations of one epoch are equal. It holds because an epoch is the place of its entry in the one
/// replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    epoch: u64,
    members: Rc<[Member]>,
}

/// A list of members that is no configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    Empty,
    /// One name twice.
    Twice(String),
    /// A name that is empty, over 64 bytes, or not of letters, digits, `-`, `_` and `.`.
    Name(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Empty => f.write_str("no member"),
            ConfigError::Twice(name) => write!(f, "member '{name}' is named twice"),
            ConfigError::Name(name) => {
                write!(f, "'{name}' is no name of a member: 1 to 64 letters, digits, '-', '_' or '.'")
            }
        }
    }
}

impl std::error::Error for ConfigError {}

impl Configuration {
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Result<Configuration, ConfigError> {
        if members.is_empty() {
            return Err(ConfigError::Empty);
        }
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        for Member { id, .. } in &members {
            if id.name.is_empty() || id.name.len() > 64 || !id.name.chars().all(plain) {
                return Err(ConfigError::Name(id.name.to_string()));
            }
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        if let Some(pair) = members.windows(2).find(|p| p[0].id.name == p[1].id.name) {
            return Err(ConfigError::Twice(pair[0].id.name.to_string()));
        }
        Ok(Configuration { epoch, members: members.into() })
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The life of a name that counts.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.id.name == name)
    }

    pub fn counts(&self, id: &MemberId) -> bool {
        self.member(&id.name).is_some_and(|m| m.id == *id)
    }

    /// The group of a piece of work, by rendezvous hashing: its owner first, then its guards by rank. Zones differ as
    /// long as there are further ones, so that no zone alone takes a majority away. Goes by names and not by
    /// incarnations: the group keeps its places when a member of it restarts.
    pub fn group(&self, key: &[u8], size: usize) -> Vec<&Member> {
        let mut ranked: Vec<(u64, &Member)> = self.members.iter().map(|m| (score(key, m), m)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let size = size.clamp(1, MAX_GROUP_SIZE).min(ranked.len());
        let mut group: Vec<&Member> = Vec::with_capacity(size);
        // How many of the group one zone holds: raised only once every zone holds as many.
        for most in 0..size {
            for (_, member) in &ranked {
                let held = group.iter().filter(|m| m.zone == member.zone).count();
                if group.len() < size && held <= most && !group.iter().any(|m| m.id == member.id) {
                    group.push(member);
                }
            }
        }
        group
    }
}

fn score(key: &[u8], member: &Member) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(member.id.name.as_bytes());
    hasher.write_u8(0);
    hasher.write(key);
    // FNV alone leaves the scores of like names close together: the finisher of SplitMix64 spreads them.
    let mut z = hasher.finish().wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
