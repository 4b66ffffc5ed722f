//! Leases between pairs of members, for all works that one owns and the other guards.
//!
//! The owner counts from when it SENT what was acknowledged, the guard from when it RECEIVED it and for longer by the
//! bound on drift: so the guard's lease covers the owner's in true time, whatever the delay.
use std::collections::BTreeMap;

use crate::cluster::{MemberId, Micros};

#[derive(Clone, Copy, Debug)]
struct LeaseChain {
    /// When the first renewal of this unbroken chain was sent.
    since: Micros,
    until: Micros,
}

#[derive(Debug)]
pub struct Leases {
    span: Micros,
    guarded: Micros,
    /// What guards grant us. As many as there are members of the configurations kept.
    held: BTreeMap<MemberId, LeaseChain>,
    /// When owners last renewed with us.
    heard: BTreeMap<MemberId, Micros>,
}

impl Leases {
    pub fn new(span: Micros, drift: f64) -> Leases {
        let guarded = span.saturating_add((span as f64 * drift.max(0.0)).ceil() as u64 + 1);
        Leases { span, guarded, held: BTreeMap::new(), heard: BTreeMap::new() }
    }

    /// How long a guard keeps a lease.
    pub fn guarded(&self) -> Micros {
        self.guarded
    }

    /// A guard acknowledged what we sent then. The chain goes on only if this came while the last still held: if not,
    /// the guard may have promised another ballot in between, and what it accepted before counts no more.
    pub fn acked(&mut self, now: Micros, guard: &MemberId, sent: Micros) {
        let until = sent.saturating_add(self.span);
        if sent > now || until <= now {
            return;
        }
        match self.held.get_mut(guard) {
            Some(held) if now < held.until => held.until = held.until.max(until),
            _ => {
                self.held.insert(guard.clone(), LeaseChain { since: sent, until });
            }
        }
    }

    /// Does that guard keep our lease on a work whose accept, acknowledged, was sent at `accepted`?
    pub fn covers(&self, now: Micros, guard: &MemberId, accepted: Micros) -> bool {
        self.held.get(guard).is_some_and(|h| now < h.until && accepted >= h.since)
    }

    /// An owner renewed here.
    pub fn heard(&mut self, now: Micros, owner: &MemberId) {
        self.heard.insert(owner.clone(), now);
    }

    pub fn last_heard(&self, owner: &MemberId) -> Option<Micros> {
        self.heard.get(owner).copied()
    }

    /// How much longer that owner's lease lives here.
    pub fn lives(&self, now: Micros, owner: &MemberId) -> Option<Micros> {
        let until = self.heard.get(owner)?.saturating_add(self.guarded);
        until.checked_sub(now).filter(|left| *left > 0)
    }

    pub fn keep_only(&mut self, counts: impl Fn(&MemberId) -> bool) {
        self.held.retain(|m, _| counts(m));
        self.heard.retain(|m, _| counts(m));
    }
}
