//! Closed time: up to when no change of the layout can come any more. The log closes times by its entries
//! ([`Layouts::closed`]); between them the holder of the lease says more by plain messages, so that reads of the last
//! moments need no entry of the log each.
//!
//! Invariant: **no change that is accepted, anywhere and ever, is valid at or before a time that a [`Known`] holds to
//! be closed.** What is said is a lease's number, a place in the log and a time. A change behind that place and at or
//! before that time would have to carry
//! - that lease's number: only its holder gives it ([`Closer::stamp`], for this run of its process alone), and it
//!   gives none at or before what it has said, and says nothing while an earlier one of its own is under way;
//! - an earlier number: refused when it is applied, the lease having changed before that place;
//! - a later number: then another lease was taken, and taking it closed, in the log itself, all up to the end of the
//!   one before, behind which its holder says nothing. Such a change is refused when it is applied.
//!
//! So a holder that is cut off, stopped or far behind may go on: what it says stays true. No clock and no time-out
//! takes part. A new holder does not wait for a lease to run out; its changes must be valid after it.
use std::collections::BTreeMap;

use super::change::{Change, Entry, Refused};
use super::state::{Guard, Layouts};
use super::Edit;
use crate::cluster::HybridTimestamp;

/// Changes of its own that a holder has under way at most: they are planned by people, or by one plan at a time.
const MOST_PENDING: usize = 1024;

/// What the holder of a lease says to be closed. It holds for whoever has applied the log up to `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Told {
    pub lease: u64,
    pub index: u64,
    pub closed: HybridTimestamp,
}

/// The side that says what is closed and lets changes through: whoever leads the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Closer {
    life: u64,
    lag_ms: u64,
    span_ms: u64,
    /// All that was ever said, under any lease of this life.
    promised: HybridTimestamp,
    /// Changes under way, by the time from which they would be valid, and on how many bases.
    pending: BTreeMap<HybridTimestamp, Vec<u64>>,
    /// The lease that those were stamped under.
    number: u64,
    without: Option<u8>,
}

impl Closer {
    /// `life` is this run of the process: a number that no other run of any member has. What is said lags `lag_ms`
    /// behind the fleet's time; a lease reaches `span_ms` ahead of it.
    pub fn new(life: u64, lag_ms: u64, span_ms: u64) -> Closer {
        let promised = HybridTimestamp::ZERO;
        Closer { life, lag_ms, span_ms, promised, pending: BTreeMap::new(), number: 0, without: None }
    }

    /// For finders alone.
    #[doc(hidden)]
    pub fn without(mut self, guard: Option<Guard>) -> Closer {
        self.without = guard.map(|g| g as u8);
        self
    }

    fn keeps(&self, guard: Guard) -> bool {
        self.without != Some(guard as u8)
    }

    /// Whether this run holds the lease, as far as it has applied the log.
    pub fn holds(&self, layouts: &Layouts) -> bool {
        let lease = layouts.lease();
        lease.number > 0 && (lease.life == self.life || !self.keeps(Guard::Life))
    }

    /// The entry by which whoever leads the log takes the lease.
    pub fn take(&self, layouts: &Layouts, now: HybridTimestamp) -> Entry {
        self.entry(layouts.lease().number.saturating_add(1), now)
    }

    /// The entry that is due now to go on holding it, if one is: a third of its span before its end, so that a lost
    /// proposal does no harm. A change of its own that is under way for a span may be lost, or may still come: it holds
    /// closed time up, and the next number bars it.
    pub fn renew(&self, layouts: &Layouts, now: HybridTimestamp) -> Option<Entry> {
        if !self.holds(layouts) {
            return None;
        }
        let lease = layouts.lease();
        if self.pending.keys().next().is_some_and(|first| first.saturating_add_ms(self.span_ms) < now) {
            return Some(self.take(layouts, now));
        }
        let due = now.ms >= lease.until.ms.saturating_sub(self.span_ms / 3);
        due.then(|| self.entry(lease.number, now))
    }

    fn entry(&self, number: u64, now: HybridTimestamp) -> Entry {
        Entry::Lease {
            number,
            life: self.life,
            until: now.saturating_add_ms(self.span_ms),
            closed: self.promised,
        }
    }

    /// Let a change through, to be proposed at once. `base` is the version that it was planned on. An error is what
    /// applying it would say now, or that it would break what was said.
    pub fn stamp(
        &mut self,
        layouts: &Layouts,
        base: u64,
        valid: HybridTimestamp,
        edits: Vec<Edit>,
    ) -> Result<Entry, Refused> {
        let lease = layouts.lease().number;
        if !self.holds(layouts) {
            return Err(Refused::Lease { now: lease });
        }
        if valid <= self.promised && self.keeps(Guard::Promise) {
            return Err(Refused::Closed { closed: self.promised });
        }
        self.turn(lease);
        if self.pending.values().map(Vec::len).sum::<usize>() >= MOST_PENDING {
            return Err(Refused::Full { versions: MOST_PENDING });
        }
        let change = Change { base, lease, valid, ground: None, edits };
        layouts.try_out(&change)?;
        self.pending.entry(valid).or_default().push(base);
        Ok(Entry::Change(change))
    }

    /// An entry of the log was applied, whatever came of it.
    pub fn applied(&mut self, layouts: &Layouts, entry: &Entry) {
        self.turn(layouts.lease().number);
        if let Entry::Change(change) = entry {
            if change.lease != self.number {
                return;
            }
            if let Some(bases) = self.pending.get_mut(&change.valid) {
                if let Some(place) = bases.iter().position(|b| *b == change.base) {
                    bases.remove(place);
                }
                if bases.is_empty() {
                    self.pending.remove(&change.valid);
                }
            }
        }
    }

    /// What was stamped under another lease is refused behind this one.
    fn turn(&mut self, number: u64) {
        if number != self.number {
            self.pending.clear();
            self.number = number;
        }
    }

    /// What can be said to be closed now; none where this run holds no lease.
    pub fn tell(&mut self, layouts: &Layouts, now: HybridTimestamp) -> Option<Told> {
        if !self.holds(layouts) {
            return None;
        }
        let lease = layouts.lease();
        self.turn(lease.number);
        let mut closed = now.saturating_sub_ms(self.lag_ms);
        if self.keeps(Guard::Until) {
            closed = closed.min(lease.until);
        }
        if let Some(first) = self.pending.keys().next().filter(|_| self.keeps(Guard::Pending)) {
            closed = closed.min(first.prev());
        }
        self.promised = self.promised.max(closed);
        Some(Told { lease: lease.number, index: layouts.applied(), closed: self.promised })
    }
}

/// What a member knows to be closed. It goes on knowing that while it is cut off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Known {
    closed: HybridTimestamp,
    /// Said for places in the log that are not applied yet: the next to become true, and the last that came.
    next: Option<Told>,
    last: Option<Told>,
    careless: bool,
}

impl Known {
    pub fn new() -> Known {
        Known::default()
    }

    /// For finders alone.
    #[doc(hidden)]
    pub fn without(mut self, guard: Option<Guard>) -> Known {
        self.careless = guard == Some(Guard::Index);
        self
    }

    /// The latest time that is known to be closed.
    pub fn closed(&self) -> HybridTimestamp {
        self.closed
    }

    /// Something was said. What comes late or twice does no harm.
    pub fn heard(&mut self, layouts: &Layouts, told: Told) {
        if told.closed <= self.closed {
            return;
        }
        match self.next {
            Some(next) if next.index <= told.index => self.last = Some(told),
            _ => self.next = Some(told),
        }
        self.applied(layouts);
    }

    /// The log was applied up to where `layouts` is.
    pub fn applied(&mut self, layouts: &Layouts) {
        self.closed = self.closed.max(layouts.closed());
        while let Some(told) = self.next.filter(|t| t.index <= layouts.applied() || self.careless) {
            self.closed = self.closed.max(told.closed);
            self.next = self.last.take();
        }
    }
}
