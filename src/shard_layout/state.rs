//! The state machine that holds the versions of the layout, the lease and the closed time. Its state is
//! determined by the entries of the log alone, so that applying the same log results in the same state on
//! every member.
//!
//! Invariants:
//! - versions are sorted by the time from which they are valid, then by log index;
//! - **no change is accepted at or before `closed`**, and `closed` never decreases. This is enforced when
//!   an entry is applied, on every member alike, regardless of who proposed the entry and what the proposer
//!   assumed;
//! - when another incarnation acquires the lease, all times that the previous holder may have promised to
//!   be closed are closed: they are bounded by `until` of the lease, which never decreases. No clock is
//!   involved;
//! - a rejected entry changes nothing but the applied index.
use std::fmt;
use std::sync::Arc;

use super::change::{Change, Entry};
use super::error::{ApplyError, PlanError};
use super::limits::LayoutLimits;
use super::version::{check_total, AcceptedChange, ApplyMode, Version, VersionPosition};
use crate::cluster::HybridTimestamp;

/// The maximum time by which a change may be ahead of all closed and leased times: a year and a day.
/// Without this limit, a change at the end of time would be the last possible one.
pub const MAX_AHEAD_MS: u64 = 366 * 86_400_000;

/// The right to propose changes and to promise closed times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The number of the lease, which increases by one with each new lease; 0 before the first.
    pub number: u64,
    /// The incarnation that holds the lease: a number that is unique to one run of a process, because a
    /// restarted process has lost its promises.
    pub incarnation: u64,
    /// The latest time that the holder may promise to be closed.
    pub until: HybridTimestamp,
}

/// The effect of an applied entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry created a new version of the layout.
    Version {
        /// The number of the version.
        number: u64,
        /// The time from which the version is valid.
        valid_from: HybridTimestamp,
    },
    /// The entry acquired or renewed the lease.
    Lease {
        /// The number of the lease.
        number: u64,
        /// The latest closed time.
        closed: HybridTimestamp,
    },
    /// The entry advanced the horizon.
    Horizon {
        /// The new horizon.
        at: HybridTimestamp,
        /// The number of versions that are still retained.
        versions: usize,
    },
}

/// A check on which the invariants depend. Model checks disable one at a time and must then find a sequence
/// of events that violates an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafetyCheck {
    /// A change at or before the closed time is rejected when it is applied.
    ClosedTimestamp,
    /// Acquiring the lease for another incarnation closes all times up to the end of the previous lease.
    PreviousLeaseEnd,
    /// A change that was proposed under another lease is rejected when it is applied.
    LeaseNumber,
    /// A change that was planned on another version is rejected when it is applied.
    BaseVersion,
    /// The holder proposes no change at or before a time that it promised to be closed.
    Promise,
    /// The holder does not promise a time at or after that of one of its own changes in flight.
    PendingChanges,
    /// The holder promises nothing after the end of its lease.
    LeaseLimit,
    /// An incarnation holds only leases that it acquired itself.
    Incarnation,
    /// A promise takes effect only once the log is applied up to its index.
    AppliedIndex,
}

/// All retained versions of the layout.
#[derive(Clone)]
pub struct Layouts {
    pub(super) limits: LayoutLimits,
    pub(super) applied: u64,
    pub(super) closed: HybridTimestamp,
    pub(super) horizon: HybridTimestamp,
    pub(super) lease: Lease,
    pub(super) versions: Vec<Version>,
    /// A copy of the last element of `versions`.
    pub(super) newest: Version,
    disabled_check: Option<SafetyCheck>,
}

impl fmt::Debug for Layouts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} versions at {}, closed {}", self.versions.len(), self.applied, self.closed)
    }
}

impl Layouts {
    /// Creates the state before the first entry of the log: one empty version that is valid from the
    /// beginning of time.
    pub fn new(limits: LayoutLimits) -> Layouts {
        Layouts {
            limits,
            applied: 0,
            closed: HybridTimestamp::ZERO,
            horizon: HybridTimestamp::ZERO,
            lease: Lease::default(),
            versions: vec![Version::empty()],
            newest: Version::empty(),
            disabled_check: None,
        }
    }

    /// Disables a check, for model checking only.
    #[doc(hidden)]
    pub fn without_check(mut self, check: Option<SafetyCheck>) -> Layouts {
        self.disabled_check = check;
        self
    }

    fn enforces(&self, check: SafetyCheck) -> bool {
        self.disabled_check != Some(check)
    }

    /// Returns the log index up to which all entries are applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the latest closed time according to the log: no further change can be valid at or before it.
    /// A [`ClosedTimestampTracker`](super::ClosedTimestampTracker) may know a later closed time.
    pub fn closed(&self) -> HybridTimestamp {
        self.closed
    }

    /// Returns the earliest time that can be read. Versions that were replaced by then are not retained.
    pub fn horizon(&self) -> HybridTimestamp {
        self.horizon
    }

    /// Returns the current lease. Its number is 0 before the first lease.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Returns the retained versions in order. The first one is valid at the horizon.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// Returns the newest version, which may become valid only in the future.
    pub fn newest(&self) -> &Version {
        &self.newest
    }

    /// Returns the version that is valid at a time. If several versions have the same time, the last one in
    /// the log applies.
    pub fn version_at(&self, at: HybridTimestamp) -> &Version {
        let after = self.versions.partition_point(|version| version.valid_from <= at);
        self.versions.get(after.saturating_sub(1)).unwrap_or(&self.newest)
    }

    /// Applies the entry of the log at `index`.
    ///
    /// # Errors
    /// Returns the reason for which the entry was rejected, which is the same on every member. The applied
    /// index advances even then, unless the entry was already applied.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Result<ApplyOutcome, ApplyError> {
        if index <= self.applied {
            return Err(ApplyError::AlreadyApplied { applied: self.applied });
        }
        self.applied = index;
        match entry {
            Entry::Change(change) => {
                let next = self.plan_version(index, change)?;
                let outcome = ApplyOutcome::Version { number: next.number, valid_from: next.valid_from };
                self.versions.push(next.clone());
                self.newest = next;
                Ok(outcome)
            }
            Entry::Lease { number, incarnation, until, closed } => {
                let lease = Lease { number: *number, incarnation: *incarnation, until: *until };
                self.grant_lease(lease, *closed)
            }
            Entry::Horizon { at } => self.advance_horizon(*at),
        }
    }

    /// Returns the version that a change would create now, without applying it. Intended for proposers of
    /// changes.
    ///
    /// # Errors
    /// Returns the reason for which the change would be rejected now.
    pub fn preview(&self, change: &Change) -> Result<Version, ApplyError> {
        self.plan_version(self.applied.saturating_add(1), change)
    }

    fn plan_version(&self, index: u64, change: &Change) -> Result<Version, ApplyError> {
        let newest = self.newest();
        if change.lease != self.lease.number && self.enforces(SafetyCheck::LeaseNumber) {
            return Err(ApplyError::LeaseMismatch { current: self.lease.number });
        }
        if change.base != newest.number && self.enforces(SafetyCheck::BaseVersion) {
            return Err(ApplyError::BaseMismatch { current: newest.number });
        }
        if change.valid_from <= self.closed && self.enforces(SafetyCheck::ClosedTimestamp) {
            return Err(ApplyError::AtOrBeforeClosed { closed: self.closed });
        }
        if change.valid_from < newest.valid_from {
            return Err(ApplyError::BeforeLatestVersion { latest: newest.valid_from });
        }
        let max = self.closed.max(self.lease.until).saturating_add_ms(MAX_AHEAD_MS);
        // The first version may be valid from any time, since nothing is closed or leased before it.
        if change.valid_from > max && newest.number > 0 {
            return Err(ApplyError::TooFarAhead { max });
        }
        if self.versions.len() >= self.limits.max_versions {
            return Err(ApplyError::TooManyVersions { versions: self.versions.len() });
        }
        let edits: Arc<[_]> = change.edits.clone().into();
        let position = VersionPosition { valid_from: change.valid_from, index };
        let next = newest.next(position, &edits, &self.limits, ApplyMode::New)?;
        if let Some(total_weight) = change.total_weight {
            check_total(next.total_weight, total_weight)?;
        }
        Ok(next)
    }

    fn grant_lease(&mut self, lease: Lease, closed: HybridTimestamp) -> Result<ApplyOutcome, ApplyError> {
        let before = self.lease;
        let is_renewal = lease.number == before.number && lease.incarnation == before.incarnation;
        let is_next = before.number.checked_add(1) == Some(lease.number);
        if !is_renewal && !is_next {
            return Err(ApplyError::LeaseMismatch { current: before.number });
        }
        if lease.incarnation != before.incarnation && self.enforces(SafetyCheck::PreviousLeaseEnd) {
            self.closed = self.closed.max(before.until);
        }
        self.closed = self.closed.max(closed);
        self.lease = Lease { until: before.until.max(lease.until).max(self.closed), ..lease };
        Ok(ApplyOutcome::Lease { number: lease.number, closed: self.closed })
    }

    /// Advances the horizon. The version that is valid at the horizon becomes the first retained one,
    /// without the tiles retired by then. Later versions are rebuilt from it, so that they keep sharing
    /// their maps.
    fn advance_horizon(&mut self, at: HybridTimestamp) -> Result<ApplyOutcome, ApplyError> {
        if at < self.horizon || at > self.closed {
            return Err(ApplyError::HorizonOutOfRange { horizon: self.horizon, closed: self.closed });
        }
        let first = self.versions.partition_point(|version| version.valid_from <= at).saturating_sub(1);
        let base = self.versions.get(first).map(|version| version.pruned(at));
        let base = base.unwrap_or_else(Version::empty);
        let later = self.versions.iter().skip(first + 1);
        let later = later
            .map(|version| AcceptedChange { position: version.position(), edits: version.edits.clone() });
        let replayed = replay(base, later, &self.limits)?;
        self.versions = replayed.versions;
        self.newest = replayed.newest;
        self.horizon = at;
        Ok(ApplyOutcome::Horizon { at, versions: self.versions.len() })
    }
}

/// The result of replaying changes.
pub(super) struct Replayed {
    pub versions: Vec<Version>,
    /// A copy of the last element of `versions`.
    pub newest: Version,
}

/// Rebuilds versions from a base version and the changes that follow it.
pub(super) fn replay(
    base: Version,
    later: impl Iterator<Item = AcceptedChange>,
    limits: &LayoutLimits,
) -> Result<Replayed, PlanError> {
    let mut versions = vec![base.clone()];
    let mut newest = base;
    for change in later {
        newest = newest.next(change.position, &change.edits, limits, ApplyMode::Replay)?;
        versions.push(newest.clone());
    }
    Ok(Replayed { versions, newest })
}
