//! Closed timestamps: the time up to which no further change of the layout is possible (as in CockroachDB).
//! Entries of the log close times ([`Layouts::closed`]). Between entries, the holder of the lease promises
//! later closed times in plain messages, so that reads of the recent past do not each require a log entry.
//!
//! Invariant: **no change that is accepted on any member at any time is valid at or before a time that a
//! [`ClosedTimestampTracker`] considers closed.** A promise consists of a lease number, a log index and a
//! time. A change after that index whose time is at or before the promised time would have to carry one of
//! the following:
//! - that lease number: only the holder of the lease issues it ([`ClosedTimestampPublisher::propose`], for
//!   this incarnation only). The holder issues none for times at or before its promises, and it does not
//!   promise a time at or after that of one of its own changes in flight;
//! - an earlier lease number: the change is rejected when it is applied, because the lease changed before
//!   that index;
//! - a later lease number: acquiring that lease closed, in the log itself, all times up to the end of the
//!   previous lease, beyond which the previous holder promises nothing. The change is rejected when it is
//!   applied.
//!
//! A holder that is partitioned, paused or lagging may therefore continue: its promises remain valid.
//! Safety depends on no clock and no timeout. A new holder does not wait for the previous lease to expire,
//! but its changes must be valid after the end of that lease.
use std::collections::BTreeMap;

use super::change::{Change, Edit, Entry};
use super::error::ApplyError;
use super::state::{Layouts, SafetyCheck};
use crate::cluster::HybridTimestamp;

/// The maximum number of a holder's own changes in flight. Changes are planned by people or by one planner
/// at a time, so there are few.
const MAX_PENDING_CHANGES: usize = 1024;

/// A promise by the holder of a lease that a time is closed. It applies to members that have applied the
/// log up to `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClosedTimestampPromise {
    /// The number of the lease.
    pub lease: u64,
    /// The log index up to which the holder had applied the log.
    pub index: u64,
    /// The closed time.
    pub closed: HybridTimestamp,
}

/// The publishing side, which promises closed times and admits changes. It runs on the member that leads
/// the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClosedTimestampPublisher {
    incarnation: u64,
    lag_ms: u64,
    lease_ms: u64,
    /// The latest time that this incarnation has promised under any lease.
    promised: HybridTimestamp,
    /// The base versions of the changes in flight, by the time from which they would be valid.
    pending: BTreeMap<HybridTimestamp, Vec<u64>>,
    /// The lease under which the pending changes were proposed.
    lease_number: u64,
    /// The check that is disabled, as a number, because the model checker hashes this type and
    /// [`SafetyCheck`] does not implement `Hash`.
    disabled_check: Option<u8>,
}

impl ClosedTimestampPublisher {
    /// Creates a publisher. `incarnation` identifies this run of the process and must differ from that of
    /// any other run of any member. Promises lag `lag_ms` behind the cluster's time, and a lease extends
    /// `lease_ms` ahead of it.
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

    /// Disables a check, for model checking only.
    #[doc(hidden)]
    pub fn without_check(mut self, check: Option<SafetyCheck>) -> ClosedTimestampPublisher {
        self.disabled_check = check.map(|check| check as u8);
        self
    }

    fn enforces(&self, check: SafetyCheck) -> bool {
        self.disabled_check != Some(check as u8)
    }

    /// Returns whether this incarnation holds the lease according to the log that it has applied.
    pub fn holds_lease(&self, layouts: &Layouts) -> bool {
        let lease = layouts.lease();
        let is_own = lease.incarnation == self.incarnation || !self.enforces(SafetyCheck::Incarnation);
        lease.number > 0 && is_own
    }

    /// Returns the entry with which the member that leads the log acquires the lease.
    pub fn acquire_lease(&self, layouts: &Layouts, now: HybridTimestamp) -> Entry {
        self.lease_entry(layouts.lease().number.saturating_add(1), now)
    }

    /// Returns the entry that is due now to keep the lease, if any. Renewal starts one third of the lease
    /// duration before its end, so that a lost proposal does no harm.
    ///
    /// A change that has been in flight for longer than a lease duration may be lost or may still be
    /// committed. It holds back the closed time, so a new lease number is acquired, which makes the change
    /// invalid.
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

    /// Admits a change and returns its entry, which the caller must propose to the log at once. `base` is
    /// the version on which the change was planned.
    ///
    /// # Errors
    /// Returns the error with which the change would be rejected now, or an error if this incarnation does
    /// not hold the lease, if the change would break a promise, or if too many changes are in flight.
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
        self.discard_other_leases(lease);
        if self.pending.values().map(Vec::len).sum::<usize>() >= MAX_PENDING_CHANGES {
            return Err(ApplyError::TooManyVersions { versions: MAX_PENDING_CHANGES });
        }
        let change = Change { base, lease, valid_from, total_weight: None, edits };
        layouts.preview(&change)?;
        self.pending.entry(valid_from).or_default().push(base);
        Ok(Entry::Change(change))
    }

    /// Updates the pending changes. Must be called after each entry of the log, whether it was accepted or
    /// rejected, with `layouts` as of that entry.
    pub fn on_applied(&mut self, layouts: &Layouts, entry: &Entry) {
        self.discard_other_leases(layouts.lease().number);
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

    /// Discards the pending changes of other leases, which will be rejected because the lease has changed.
    fn discard_other_leases(&mut self, number: u64) {
        if number != self.lease_number {
            self.pending.clear();
            self.lease_number = number;
        }
    }

    /// Returns the promise that can be made now, or `None` if this incarnation does not hold the lease.
    pub fn publish(&mut self, layouts: &Layouts, now: HybridTimestamp) -> Option<ClosedTimestampPromise> {
        if !self.holds_lease(layouts) {
            return None;
        }
        let lease = layouts.lease();
        self.discard_other_leases(lease.number);
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

/// The closed time known to a member. It remains valid while the member is partitioned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClosedTimestampTracker {
    closed: HybridTimestamp,
    /// Promises for log indexes that are not applied yet: the next one to take effect and the last one
    /// received.
    next: Option<ClosedTimestampPromise>,
    last: Option<ClosedTimestampPromise>,
    ignores_index: bool,
}

impl ClosedTimestampTracker {
    /// Creates a tracker for which no time is known to be closed.
    pub fn new() -> ClosedTimestampTracker {
        ClosedTimestampTracker::default()
    }

    /// Disables a check, for model checking only.
    #[doc(hidden)]
    pub fn without_check(mut self, check: Option<SafetyCheck>) -> ClosedTimestampTracker {
        self.ignores_index = check == Some(SafetyCheck::AppliedIndex);
        self
    }

    /// Returns the latest time that is known to be closed.
    pub fn closed(&self) -> HybridTimestamp {
        self.closed
    }

    /// Handles a received promise. A late or duplicate promise is harmless.
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

    /// Updates the closed time. Must be called after the log was applied up to the index of `layouts`.
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
