//! A cluster of named members that work together: which members vote, and which of them is responsible for
//! which work.
//!
//! State machines alone: events and time come in, messages and actions go out. Nothing below does I/O, reads
//! a clock or draws random numbers; [`crate::net::cluster`] connects them to sockets and clocks.
//!
//! Invariant: gossip about which members are alive chooses whom to turn to first, and nothing more. Safety
//! rests on majorities.
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

/// Microseconds on a member's own monotonic clock: only differences mean anything, and only to the member
/// that read it.
pub type Micros = u64;

/// One incarnation of a named member. A member that restarts without what it had promised is another
/// incarnation: no promise of an earlier one binds it, and it has no vote where an earlier one was agreed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The configured name.
    pub name: Rc<str>,
    /// New at each start, and higher than before.
    pub incarnation: u64,
}

impl MemberId {
    /// The incarnation of a name.
    pub fn new(name: &str, incarnation: u64) -> MemberId {
        MemberId { name: name.into(), incarnation }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// A voting member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name and incarnation.
    pub id: MemberId,
    /// Its failure domain: groups of acceptors spread over zones.
    pub zone: Rc<str>,
    /// Where it listens for other members.
    pub address: SocketAddr,
}
