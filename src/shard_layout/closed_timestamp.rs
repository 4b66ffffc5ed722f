//! Closed timestamps: up to which time no change of the layout can come any more (as in CockroachDB). The log closes times
//! by its entries ([`Layouts::closed`]); between them the holder of the lease promises later ones by plain messages, so
//! that reads of the last moments need no log entry each.
//!
//! Invariant: **no change that is accepted, anywhere and ever, is valid at or before a time that a
//! [`ClosedTimestampTracker`] holds to be closed.** A promise is a lease's number, an index in the log and a time. A
//! change behind that index and at or before that time would have to carry
//! - that lease's number: only its holder gives it out ([`ClosedTimestampPublisher::propose`], for this incarnation
//!   only), it gives out none at or before what it has promised, and promises nothing while an earlier one is in flight;
//! - an earlier number: rejected when it is applied, since the lease changed before that index;
//! - a later number: then another lease was taken, and taking it closed, in the log itself, all times up to the end of
//!   the previous lease, beyond which its holder promises nothing. Such a change is rejected when it is applied.
//!
//! So a holder that is partitioned, stopped or far behind may go on: its promises stay true. No clock and no timeout
//! takes part. A new holder does not wait for a lease to expire; its changes must be valid after it.
use std::collections::BTreeMap;

use super::change::{Change, Edit, Entry};
use super::error::ApplyError;
use super::state::{Layouts, SafetyCheck};
use crate::cluster::HybridTimestamp;

/// Changes of its own that a holder has in flight at most: they are planned by people, or by one plan at a time.
const MAX_PENDING_CHANGES: usize = 1024;

/// A promise by the holder of a lease that a time is closed. It holds for whoever has applied the log up to `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClosedTimestampPromise {
    /// The lease's number.
    pub lease: u64,
    /// The log index that the holder had applied.
    pub index: u64,
    /// The closed time.
    pub closed: HybridTimestamp,
}

/// The side that promises closed times and lets changes through: the member that leads the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClosedTimestampPublisher {
    incarnation: u64,
    lag_ms: u64,
    lease_ms: u64,
    /// The latest time that was ever promised, under any lease of this incarnation.
    promised: HybridTimestamp,
    /// Base versions of the changes in flight, by the time from which they would be valid.
    pending: BTreeMap<HybridTimestamp, Vec<u64>>,
    /// The lease that those were proposed under.
    lease_number: u64,
    /// As a number, since this type is hashed by the model checker and the check is not.
    disabled_check: Option<u8>,
}

impl ClosedTimestampPublisher {
    /// `incarnation` identifies this run of the process: a number that no other run of any member has. Promises lag
    /// `lag_ms` behind the cluster's time; a lease reaches `lease_ms` ahead of it.
    pub fn new(incarnation: u64, lag_ms: u64, lease_ms: u64) -> ClosedTimestampPublisher {
        ClosedTimestampPublisher {
            incarnation,
            lag_ms,
            lease_ms,
            promised: HybridTimestamp::ZERO,
            pending: BTreeMap::new(),
            lease_number: 0,
            disabled_check: None,
        }
    }

    /// Leaves out a check, for model checks only.
    #[doc(hidden)]
    pub fn without_check(mut self, check: Option<SafetyCheck>) -> ClosedTimestampPublisher {
        self.disabled_check = check.map(|check| check as u8);
        self
    }

    fn enforces(&self, check: SafetyCheck) -> bool {
        self.disabled_check != Some(check as u8)
    }

    /// Whether this incarnation holds the lease, as far as it has applied the log.
    pub fn holds_lease(&self, layouts: &Layouts) -> bool {
        let lease = layouts.lease();
        let is_own = lease.incarnation == self.incarnation || !self.enforces(SafetyCheck::Incarnation);
        lease.number > 0 && is_own
    }

    /// The entry by which the member that leads the log takes the lease.
    pub fn acquire_lease(&self, layouts: &Layouts, now: HybridTimestamp) -> Entry {
        self.lease_entry(layouts.lease().number.saturating_add(1), now)
    }

    /// The entry that is due now to go on holding the lease, if one is: from a third of its span before its end, so
    /// that a lost proposal does no harm. A change in flight for longer than a span may be lost, or may still come: it
    /// holds the closed time up, and the next lease number bars it.
    pub fn renew_lease(&self, layouts: &Layouts, now: HybridTimestamp) -> Option<Entry> {
        if !self.holds_lease(layouts) {
            return None;
        }
        let lease = layouts.lease();
        let first_pending = self.pending.keys().next();
        if first_pending.is_some_and(|first| first.saturating_add_ms(self.lease_ms) < now) {
            return Some(self.acquire_lease(layouts, now));
        }
        let is_due = now.ms >= lease.until.ms.saturating_sub(self.lease_ms / 3);
        is_due.then(|| self.lease_entry(lease.number, now))
    }

    fn lease_entry(&self, number: u64, now: HybridTimestamp) -> Entry {
        let until = now.saturating_add_ms(self.lease_ms);
        Entry::Lease { number, incarnation: self.incarnation, until, closed: self.promised }
    }

    /// Lets a change through: the entry must be proposed to the log at once. `base` is the version that the change was
    /// planned on.
    ///
    /// # Errors
    /// What applying it would return now, or that this incarnation holds no lease, that the change would break a
    /// promise, or that too many changes are in flight.
    pub fn propose(
        &mut self,
        layouts: &Layouts,
        base: u64,
        valid_from: HybridTimestamp,
        edits: Vec<Edit>,
    ) -> Result<Entry, ApplyError> {
        let lease = layouts.lease().number;
        if !self.holds_lease(layouts) {
            return Err(ApplyError::LeaseMismatch { current: lease });
        }
        if valid_from <= self.promised && self.enforces(SafetyCheck::Promise) {
            return Err(ApplyError::AtOrBeforeClosed { closed: self.promised });
        }
        self.forget_other_leases(lease);
        if self.pending.values().map(Vec::len).sum::<usize>() >= MAX_PENDING_CHANGES {
            return Err(ApplyError::TooManyVersions { versions: MAX_PENDING_CHANGES });
        }
        let change = Change { base, lease, valid_from, total_weight: None, edits };
        layouts.preview(&change)?;
        self.pending.entry(valid_from).or_default().push(base);
        Ok(Entry::Change(change))
    }

    /// To be called after each entry of the log, whether it was accepted or rejected. `layouts` has it applied.
    pub fn on_applied(&mut self, layouts: &Layouts, entry: &Entry) {
        self.forget_other_leases(layouts.lease().number);
        let Entry::Change(change) = entry else { return };
        if change.lease != self.lease_number {
            return;
        }
        let Some(bases) = self.pending.get_mut(&change.valid_from) else { return };
        if let Some(n) = bases.iter().position(|base| *base == change.base) {
            bases.remove(n);
        }
        if bases.is_empty() {
            self.pending.remove(&change.valid_from);
        }
    }

    /// Changes that were proposed under another lease are rejected behind the present one.
    fn forget_other_leases(&mut self, number: u64) {
        if number != self.lease_number {
            self.pending.clear();
            self.lease_number = number;
        }
    }

    /// The promise that can be made now; none where this incarnation holds no lease.
    pub fn publish(&mut self, layouts: &Layouts, now: HybridTimestamp) -> Option<ClosedTimestampPromise> {
        if !self.holds_lease(layouts) {
            return None;
        }
        let lease = layouts.lease();
        self.forget_other_leases(lease.number);
        let mut closed = now.saturating_sub_ms(self.lag_ms);
        if self.enforces(SafetyCheck::LeaseLimit) {
            closed = closed.min(lease.until);
        }
        if self.enforces(SafetyCheck::PendingChanges) {
            if let Some(first) = self.pending.keys().next() {
                closed = closed.min(first.prev());
            }
        }
        self.promised = self.promised.max(closed);
        Some(ClosedTimestampPromise { lease: lease.number, index: layouts.applied(), closed: self.promised })
    }
}

/// What a member knows to be closed. It stays true while the member is partitioned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClosedTimestampTracker {
    closed: HybridTimestamp,
    /// Promises for indexes of the log that are not applied yet: the next to count, and the last that came.
    next: Option<ClosedTimestampPromise>,
    last: Option<ClosedTimestampPromise>,
    ignores_index: bool,
}

impl ClosedTimestampTracker {
    /// Nothing is known to be closed.
    pub fn new() -> ClosedTimestampTracker {
        ClosedTimestampTracker::default()
    }

    /// Leaves out a check, for model checks only.
    #[doc(hidden)]
    pub fn without_check(mut self, check: Option<SafetyCheck>) -> ClosedTimestampTracker {
        self.ignores_index = check == Some(SafetyCheck::AppliedIndex);
        self
    }

    /// The latest time that is known to be closed.
    pub fn closed(&self) -> HybridTimestamp {
        self.closed
    }

    /// A promise came in. One that is late or a duplicate does no harm.
    pub fn receive(&mut self, layouts: &Layouts, promise: ClosedTimestampPromise) {
        if promise.closed <= self.closed {
            return;
        }
        match self.next {
            Some(next) if next.index <= promise.index => self.last = Some(promise),
            _ => self.next = Some(promise),
        }
        self.on_applied(layouts);
    }

    /// To be called after the log was applied up to where `layouts` is.
    pub fn on_applied(&mut self, layouts: &Layouts) {
        self.closed = self.closed.max(layouts.closed());
        while let Some(promise) = self.next {
            if promise.index > layouts.applied() && !self.ignores_index {
                break;
            }
            self.closed = self.closed.max(promise.closed);
            self.next = self.last.take();
        }
    }
}
