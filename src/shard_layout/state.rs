//! The state machine: versions of the layout, the lease and closed time, as the log's entries make them. Applying one
//! log gives one state on every member, since nothing else goes in.
//!
//! Invariants:
//! - versions are sorted by (time from which they are valid, place in the log);
//! - **no change is accepted at or before `closed`**, and `closed` never falls. Kept here, at apply, everywhere alike:
//!   who proposed it, and what it believed, does not matter;
//! - when another life takes the lease, all that the one before may have said to be closed is closed: `until` of a
//!   lease bounds that, and never falls. No clock takes part in this;
//! - a refused entry changes nothing but the place in the log.
use std::fmt;
use std::sync::Arc;

use super::change::{Change, Entry, Refused};
use super::limits::Limits;
use super::version::{add_up, Version};
use crate::cluster::HybridTimestamp;

/// How far ahead of all that is closed or leased a change may be: a year and a day. One at the end of time would be the last.
pub const AHEAD_MS: u64 = 366 * 86_400_000;

/// Who may propose changes and say what is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    pub number: u64,
    /// A run of a process, by a number that no other run has: one that restarts has forgotten its promises.
    pub life: u64,
    /// The latest time that its holder may say to be closed.
    pub until: HybridTimestamp,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    Version { number: u64, valid: HybridTimestamp },
    Lease { number: u64, closed: HybridTimestamp },
    Horizon { at: HybridTimestamp, versions: usize },
}

/// A rule that keeps the invariants, by name: finders leave one out and must then find a broken order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Apply refuses a change at or before closed time.
    Closed,
    /// Another life's lease closes all up to the end of the one before.
    LeaseEnd,
    /// Apply refuses a change that was proposed under another lease.
    LeaseNumber,
    /// Apply refuses a change that was planned on another version.
    Base,
    /// The holder proposes nothing at or before what it said to be closed.
    Promise,
    /// The holder says nothing to be closed at which a change of its own is under way.
    Pending,
    /// The holder says nothing to be closed behind its lease's end.
    Until,
    /// A run holds only leases that it took itself.
    Life,
    /// What was said counts only once the log up to it is applied.
    Index,
}

/// All layouts that are kept.
#[derive(Clone)]
pub struct Layouts {
    pub(super) limits: Limits,
    pub(super) applied: u64,
    pub(super) closed: HybridTimestamp,
    pub(super) horizon: HybridTimestamp,
    pub(super) lease: Lease,
    pub(super) versions: Vec<Version>,
    /// The last of them.
    pub(super) newest: Version,
    without: Option<Guard>,
}

impl fmt::Debug for Layouts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} versions at {}, closed {}", self.versions.len(), self.applied, self.closed)
    }
}

impl Layouts {
    pub fn new(limits: Limits) -> Layouts {
        Layouts {
            limits,
            applied: 0,
            closed: HybridTimestamp::ZERO,
            horizon: HybridTimestamp::ZERO,
            lease: Lease::default(),
            versions: vec![Version::empty()],
            newest: Version::empty(),
            without: None,
        }
    }

    /// For finders alone.
    #[doc(hidden)]
    pub fn without(mut self, guard: Option<Guard>) -> Layouts {
        self.without = guard;
        self
    }

    /// The place in the log up to which all is applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// No change valid at or before this comes any more, by the log alone; [`super::Known`] may know of more.
    pub fn closed(&self) -> HybridTimestamp {
        self.closed
    }

    pub fn horizon(&self) -> HybridTimestamp {
        self.horizon
    }

    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// The versions that are kept, in their order; the first is valid at the horizon.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// The newest version, which may be valid only later.
    pub fn newest(&self) -> &Version {
        &self.newest
    }

    /// The version that is valid at a time: the last that is valid from then or before. Within one instant the last in
    /// the log.
    pub fn version_at(&self, at: HybridTimestamp) -> &Version {
        let after = self.versions.partition_point(|v| v.valid <= at);
        self.versions.get(after.saturating_sub(1)).unwrap_or(&self.newest)
    }

    /// Apply the log's entry at a place. An error says why it changed nothing, the same on each member.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Result<Applied, Refused> {
        if index <= self.applied {
            return Err(Refused::Replayed { applied: self.applied });
        }
        self.applied = index;
        match entry {
            Entry::Change(change) => {
                let next = self.plan(index, change)?;
                let done = Applied::Version { number: next.number, valid: next.valid };
                self.versions.push(next.clone());
                self.newest = next;
                Ok(done)
            }
            Entry::Lease { number, life, until, closed } => self.grant(*number, *life, *until, *closed),
            Entry::Horizon { at } => self.forget(*at),
        }
    }

    /// What applying a change would make now, without applying it: for whoever proposes one.
    pub fn try_out(&self, change: &Change) -> Result<Version, Refused> {
        self.plan(self.applied.saturating_add(1), change)
    }

    fn plan(&self, index: u64, change: &Change) -> Result<Version, Refused> {
        let last = self.newest();
        let keeps = |guard| self.without != Some(guard);
        if change.lease != self.lease.number && keeps(Guard::LeaseNumber) {
            return Err(Refused::Lease { now: self.lease.number });
        }
        if change.base != last.number && keeps(Guard::Base) {
            return Err(Refused::Base { now: last.number });
        }
        if change.valid <= self.closed && keeps(Guard::Closed) {
            return Err(Refused::Closed { closed: self.closed });
        }
        if change.valid < last.valid {
            return Err(Refused::Order { last: last.valid });
        }
        let most = self.closed.max(self.lease.until).saturating_add_ms(AHEAD_MS);
        if change.valid > most && last.number > 0 {
            return Err(Refused::Far { most });
        }
        if self.versions.len() >= self.limits.versions {
            return Err(Refused::Full { versions: self.versions.len() });
        }
        let edits: Arc<[_]> = change.edits.clone().into();
        let next = last.next((change.valid, index), &edits, &self.limits, false)?;
        if let Some(ground) = change.ground {
            add_up(next.ground, ground)?;
        }
        Ok(next)
    }

    fn grant(
        &mut self,
        number: u64,
        life: u64,
        until: HybridTimestamp,
        closed: HybridTimestamp,
    ) -> Result<Applied, Refused> {
        let before = self.lease;
        let renewed = number == before.number && life == before.life;
        let taken = before.number.checked_add(1) == Some(number);
        if !renewed && !taken {
            return Err(Refused::Lease { now: before.number });
        }
        if life != before.life && self.without != Some(Guard::LeaseEnd) {
            self.closed = self.closed.max(before.until);
        }
        self.closed = self.closed.max(closed);
        self.lease = Lease { number, life, until: before.until.max(until).max(self.closed) };
        Ok(Applied::Lease { number, closed: self.closed })
    }

    /// The versions behind the horizon go; the last of them is the first that is kept, without what was gone by then. Those
    /// after it are made anew from it, so that they go on sharing.
    fn forget(&mut self, at: HybridTimestamp) -> Result<Applied, Refused> {
        if at < self.horizon || at > self.closed {
            return Err(Refused::Horizon { horizon: self.horizon, closed: self.closed });
        }
        let first = self.versions.partition_point(|v| v.valid <= at).saturating_sub(1);
        let base = self.versions.get(first).map(|v| v.pruned(at));
        let base = base.unwrap_or_else(Version::empty);
        let later = self.versions.iter().skip(first + 1).map(|v| ((v.valid, v.index), v.edits.clone()));
        (self.versions, self.newest) = replay(base, later, &self.limits)?;
        self.horizon = at;
        Ok(Applied::Horizon { at, versions: self.versions.len() })
    }
}

/// Versions out of a first one and the changes behind it, and the last of them once more.
pub(super) fn replay(
    base: Version,
    later: impl Iterator<Item = ((HybridTimestamp, u64), Arc<[super::Edit]>)>,
    limits: &Limits,
) -> Result<(Vec<Version>, Version), super::PlanError> {
    let (mut versions, mut last) = (vec![base.clone()], base);
    for (place, edits) in later {
        last = last.next(place, &edits, limits, true)?;
        versions.push(last.clone());
    }
    Ok((versions, last))
}
