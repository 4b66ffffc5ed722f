//! A fleet of named members that work together: who counts, who guards which work. Decisions and state alone: events
//! and time come in, messages and actions go out; no input, output, clock or randomness.
//!
//! Rumours make things fast, majorities make them safe: what is told of who is alive may choose whom to ask first, and
//! nothing more.
pub mod bootstrap;
pub mod configuration;
pub mod consensus_log;
pub mod hybrid_clock;
pub mod takeover;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

pub use configuration::{ConfigError, Configuration};
pub use hybrid_clock::HybridTimestamp;

/// Microseconds on a member's own monotonic clock: only differences count, and only on the member that read it.
pub type Micros = u64;

/// One life of a named member. Whoever restarts without what it had promised is another incarnation, and nothing that
/// was promised by the earlier one binds it or is voted on by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    pub name: Rc<str>,
    pub incarnation: u64,
}

impl MemberId {
    pub fn new(name: &str, incarnation: u64) -> MemberId {
        MemberId { name: name.into(), incarnation }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// A member that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub id: MemberId,
    pub zone: Rc<str>,
    /// Where it listens for other members.
    pub address: SocketAddr,
}
