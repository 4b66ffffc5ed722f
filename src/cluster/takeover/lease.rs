//! Leases between pairs of members, for all work items that one owns and the other accepts for.
//!
//! Invariant: the acceptor's lease covers the owner's in true time, whatever the network delay. The owner
//! counts from when it SENT what was acknowledged; the acceptor counts from when it RECEIVED it, and for
//! longer by the bound on clock drift.
use std::collections::BTreeMap;

use crate::cluster::{MemberId, Micros};

/// Renewals without a gap that one acceptor acknowledged.
#[derive(Clone, Copy, Debug)]
struct LeaseChain {
    /// When the first renewal of this unbroken chain was sent.
    first_sent_at: Micros,
    expires_at: Micros,
}

/// The leases of one member, in both roles.
#[derive(Debug)]
pub struct Leases {
    owner_duration: Micros,
    acceptor_duration: Micros,
    /// What acceptors grant this member; bounded by the members of the configurations kept.
    granted: BTreeMap<MemberId, LeaseChain>,
    /// When owners last renewed here; bounded likewise.
    last_renewals: BTreeMap<MemberId, Micros>,
}

impl Leases {
    /// `drift_ratio`: by how much one member's clock may run faster than another's.
    pub fn new(duration: Micros, drift_ratio: f64) -> Leases {
        let margin = (duration as f64 * drift_ratio.max(0.0)).ceil() as u64 + 1;
        Leases {
            owner_duration: duration,
            acceptor_duration: duration.saturating_add(margin),
            granted: BTreeMap::new(),
            last_renewals: BTreeMap::new(),
        }
    }

    /// How long an acceptor keeps a lease after a renewal.
    pub fn acceptor_duration(&self) -> Micros {
        self.acceptor_duration
    }

    /// An acceptor acknowledged what this member sent at `sent_at`. The chain continues only if this came
    /// while the last lease still held. If not, the acceptor may have promised another ballot in between, so
    /// what it accepted before counts no more.
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

    /// Whether that acceptor keeps this member's lease on a work item whose acknowledged accept was sent at
    /// `accept_sent_at`.
    pub fn covers(&self, now: Micros, acceptor: &MemberId, accept_sent_at: Micros) -> bool {
        let chain = self.granted.get(acceptor);
        chain.is_some_and(|chain| now < chain.expires_at && accept_sent_at >= chain.first_sent_at)
    }

    /// An owner renewed its lease here.
    pub fn record_renewal(&mut self, now: Micros, owner: &MemberId) {
        self.last_renewals.insert(owner.clone(), now);
    }

    /// When that owner last renewed its lease here.
    pub fn last_renewal(&self, owner: &MemberId) -> Option<Micros> {
        self.last_renewals.get(owner).copied()
    }

    /// How much longer that owner's lease holds here; `None` if it has expired.
    pub fn remaining(&self, now: Micros, owner: &MemberId) -> Option<Micros> {
        let expires_at = self.last_renewals.get(owner)?.saturating_add(self.acceptor_duration);
        expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Forgets members for which `is_member` is false.
    pub fn retain_members(&mut self, is_member: impl Fn(&MemberId) -> bool) {
        self.granted.retain(|member, _| is_member(member));
        self.last_renewals.retain(|member, _| is_member(member));
    }
}
