//! Leases between pairs of members. Each covers all work items that one member owns and the other accepts
//! for.
//!
//! Invariant: in real time, the acceptor's view of a lease outlasts the owner's, whatever the network delay.
//! The owner counts from when it sent the message that was acknowledged. The acceptor counts from when it
//! received that message, and for longer by the bound on clock drift.
use std::collections::BTreeMap;

use crate::cluster::{MemberId, Micros};

/// An unbroken sequence of renewals acknowledged by one acceptor.
#[derive(Clone, Copy, Debug)]
struct LeaseChain {
    /// When the first renewal of the sequence was sent.
    first_sent_at: Micros,
    expires_at: Micros,
}

/// The leases of one member, as owner and as acceptor.
#[derive(Debug)]
pub struct Leases {
    owner_duration: Micros,
    acceptor_duration: Micros,
    /// Leases that acceptors grant this member; bounded by the members of the open configurations.
    granted: BTreeMap<MemberId, LeaseChain>,
    /// When owners last renewed their leases here; bounded in the same way.
    last_renewals: BTreeMap<MemberId, Micros>,
}

impl Leases {
    /// Creates an empty set of leases. `drift_ratio` is the maximum relative difference in rate between two
    /// members' clocks.
    pub fn new(duration: Micros, drift_ratio: f64) -> Leases {
        let margin = (duration as f64 * drift_ratio.max(0.0)).ceil() as u64 + 1;
        Leases {
            owner_duration: duration,
            acceptor_duration: duration.saturating_add(margin),
            granted: BTreeMap::new(),
            last_renewals: BTreeMap::new(),
        }
    }

    /// Returns how long an acceptor keeps a lease after a renewal.
    pub fn acceptor_duration(&self) -> Micros {
        self.acceptor_duration
    }

    /// Records that an acceptor acknowledged a message that this member sent at `sent_at`. The chain
    /// continues only if the previous lease has not expired. Otherwise the acceptor may have promised another
    /// ballot in between, so its earlier acknowledgements no longer count.
    pub fn record_acknowledgement(&mut self, now: Micros, acceptor: &MemberId, sent_at: Micros) {
        let expires_at = sent_at.saturating_add(self.owner_duration);
        if sent_at > now || expires_at <= now {
            return;
        }
        match self.granted.get_mut(acceptor) {
            Some(chain) if now < chain.expires_at => chain.expires_at = chain.expires_at.max(expires_at),
            _ => {
                self.granted.insert(acceptor.clone(), LeaseChain { first_sent_at: sent_at, expires_at });
            }
        }
    }

    /// Returns whether the acceptor keeps this member's lease on a work item whose acknowledged accept was
    /// sent at `accept_sent_at`.
    pub fn covers(&self, now: Micros, acceptor: &MemberId, accept_sent_at: Micros) -> bool {
        let chain = self.granted.get(acceptor);
        chain.is_some_and(|chain| now < chain.expires_at && accept_sent_at >= chain.first_sent_at)
    }

    /// Records that an owner renewed its lease here.
    pub fn record_renewal(&mut self, now: Micros, owner: &MemberId) {
        self.last_renewals.insert(owner.clone(), now);
    }

    /// Returns when the owner last renewed its lease here.
    pub fn last_renewal(&self, owner: &MemberId) -> Option<Micros> {
        self.last_renewals.get(owner).copied()
    }

    /// Returns the remaining duration of the owner's lease here; `None` if it has expired.
    pub fn remaining(&self, now: Micros, owner: &MemberId) -> Option<Micros> {
        let expires_at = self.last_renewals.get(owner)?.saturating_add(self.acceptor_duration);
        expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Removes members for which `is_member` returns false.
    pub fn retain_members(&mut self, is_member: impl Fn(&MemberId) -> bool) {
        self.granted.retain(|member, _| is_member(member));
        self.last_renewals.retain(|member, _| is_member(member));
    }
}
