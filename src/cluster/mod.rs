//! Clustering: membership, consensus on configurations, and replication of work items between named members.
//!
//! This module contains only state machines: events and time go in, messages and actions come out. Nothing in
//! it does I/O, reads a clock or draws random numbers; [`crate::net::cluster`] connects it to sockets and
//! clocks.
//!
//! Invariant: gossip about the liveness of members only influences which member is contacted first. Safety
//! relies on majorities alone.
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

/// Microseconds on a member's own monotonic clock. Only differences are meaningful, and only to the member
/// that read the clock.
pub type Micros = u64;

/// One incarnation of a named member. A member that restarts without its promises gets a new incarnation:
/// promises of an earlier incarnation do not bind it, and it has no vote in configurations that name an
/// earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The configured name.
    pub name: Rc<str>,
    /// Changes at each start, and only increases.
    pub incarnation: u64,
}

impl MemberId {
    /// Creates the id of an incarnation of `name`.
    pub fn new(name: &str, incarnation: u64) -> MemberId {
        MemberId { name: name.into(), incarnation }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// A voting member of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The name and incarnation.
    pub id: MemberId,
    /// The member's failure domain. Acceptor groups are spread over zones.
    pub zone: Rc<str>,
    /// The address on which it listens for other members.
    pub address: SocketAddr,
}
