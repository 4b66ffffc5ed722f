//! Index of the attempts in flight, ordered by send time, so that overdue attempts are found
//! without visiting the others or the replicas. Streaming attempts are not included: they count as
//! answered.
use std::collections::{BTreeMap, BTreeSet};

use super::audit::first_difference;
use super::timer_queue::TimeKey;
use super::{InFlightAttempt, Replica};
use crate::balancer::interface::{PartId, ReplicaId};

/// Send time, replica, and part and number of an attempt.
type AttemptKey = (TimeKey, ReplicaId, (PartId, u8));

/// An index of all attempts in flight.
#[derive(Default)]
pub struct InFlightIndex {
    all: BTreeSet<AttemptKey>,
    /// Attempts sent before this time have been returned as unresponsive.
    unresponsive_before: Option<TimeKey>,
    /// Attempts sent before this time have been returned as unanswered.
    unanswered_before: Option<TimeKey>,
    /// Attempts sent before this time are counted in `overdue_by_replica`.
    overdue_before: Option<TimeKey>,
    overdue_by_replica: BTreeMap<ReplicaId, usize>,
    /// Replicas that changed zone; their attempts may count against the new zone.
    changed_zone: BTreeSet<ReplicaId>,
    /// Number of entries visited so far.
    pub entries_visited: usize,
}

/// Iterates over the attempts sent at or after `from` and before `to`.
fn sent_between(
    all: &BTreeSet<AttemptKey>,
    from: Option<TimeKey>,
    to: TimeKey,
) -> impl Iterator<Item = &AttemptKey> {
    let first = |at: TimeKey| (at, ReplicaId(0), (PartId(0), 0));
    let from = from.unwrap_or(TimeKey(f64::NEG_INFINITY)).min(to);
    all.range(first(from)..first(to))
}

impl InFlightIndex {
    /// Adds a sent attempt. `replaced` is the in-flight attempt with the same key that it replaces,
    /// if any.
    pub fn add(
        &mut self,
        sent_at: f64,
        replica: ReplicaId,
        attempt: (PartId, u8),
        replaced: Option<InFlightAttempt>,
    ) {
        if let Some(replaced) = replaced {
            self.remove(replaced.sent_at, replica, attempt);
        }
        self.all.insert((TimeKey(sent_at), replica, attempt));
        if self.overdue_before.is_some_and(|before| TimeKey(sent_at) < before) {
            *self.overdue_by_replica.entry(replica).or_insert(0) += 1;
        }
    }

    /// Removes an attempt that ended or whose value has started to stream.
    pub fn remove(&mut self, sent_at: f64, replica: ReplicaId, attempt: (PartId, u8)) {
        let removed = self.all.remove(&(TimeKey(sent_at), replica, attempt));
        if removed && self.overdue_before.is_some_and(|before| TimeKey(sent_at) < before) {
            self.decrement_overdue(replica);
        }
    }

    fn decrement_overdue(&mut self, replica: ReplicaId) {
        if let Some(n) = self.overdue_by_replica.get_mut(&replica) {
            *n -= 1;
            if *n == 0 {
                self.overdue_by_replica.remove(&replica);
            }
        }
    }

    /// Records that a replica has changed zone.
    pub fn record_zone_change(&mut self, replica: ReplicaId) {
        self.changed_zone.insert(replica);
    }

    /// Returns the attempts sent before `before`, in seconds, that no earlier call covered, sorted
    /// by replica, part and number.
    pub fn newly_unresponsive(&mut self, before: f64) -> Vec<(ReplicaId, (PartId, u8))> {
        let before = TimeKey(before);
        let sent = sent_between(&self.all, self.unresponsive_before, before);
        let mut found: Vec<_> = sent.map(|(_, replica, attempt)| (*replica, *attempt)).collect();
        found.sort_unstable();
        self.entries_visited += found.len();
        self.unresponsive_before = self.unresponsive_before.max(Some(before));
        found
    }

    /// Returns replica and send time, in seconds, of the attempts sent before `before` that no
    /// earlier call covered, and of those at replicas that have changed zone since.
    pub fn newly_unanswered(&mut self, before: f64) -> Vec<(ReplicaId, f64)> {
        let before = TimeKey(before);
        let sent = sent_between(&self.all, self.unanswered_before, before);
        let mut found: Vec<_> = sent.map(|(sent_at, replica, _)| (*replica, sent_at.0)).collect();
        self.entries_visited += found.len();
        self.unanswered_before = self.unanswered_before.max(Some(before));
        if !self.changed_zone.is_empty() {
            // Covers attempts that were already returned for the old zone and now count against the
            // new one.
            let moved = std::mem::take(&mut self.changed_zone);
            let covered_before = self.unanswered_before.unwrap_or(before);
            for &(sent_at, replica, _) in sent_between(&self.all, None, covered_before) {
                self.entries_visited += 1;
                if !moved.contains(&replica) {
                    continue;
                }
                if sent_at < before {
                    found.push((replica, sent_at.0));
                } else {
                    self.changed_zone.insert(replica);
                }
            }
        }
        found
    }

    /// Returns the number of replicas with unanswered attempts that were sent before `before`.
    pub fn replicas_overdue(&mut self, before: f64) -> usize {
        let old_bound = self.overdue_before.unwrap_or(TimeKey(f64::NEG_INFINITY));
        let new_bound = TimeKey(before);
        for (_, replica, _) in sent_between(&self.all, Some(old_bound), new_bound) {
            *self.overdue_by_replica.entry(*replica).or_insert(0) += 1;
            self.entries_visited += 1;
        }
        // The bound may be earlier than in the previous call; attempts sent after it are then no longer
        // overdue.
        let no_longer_overdue: Vec<_> =
            sent_between(&self.all, Some(new_bound), old_bound).map(|key| key.1).collect();
        self.entries_visited += no_longer_overdue.len();
        for replica in no_longer_overdue {
            self.decrement_overdue(replica);
        }
        self.overdue_before = Some(new_bound);
        self.overdue_by_replica.len()
    }

    /// Compares the index with a full recount over all replicas.
    ///
    /// # Errors
    ///
    /// Returns the name of the first sum or index that differs.
    pub fn check(&self, replicas: &BTreeMap<ReplicaId, Replica>) -> Result<(), &'static str> {
        let attempts = replicas.iter().flat_map(|(id, r)| {
            r.in_flight.iter().map(move |(attempt, in_flight)| (*id, *attempt, *in_flight))
        });
        let unanswered: Vec<_> = attempts.filter(|(_, _, in_flight)| !in_flight.is_streaming).collect();
        let all: BTreeSet<AttemptKey> = unanswered
            .iter()
            .map(|(id, attempt, in_flight)| (TimeKey(in_flight.sent_at), *id, *attempt))
            .collect();
        let expected_unresponsive =
            |sent_at: f64| self.unresponsive_before.is_some_and(|at| TimeKey(sent_at) < at);
        let mut overdue = BTreeMap::new();
        for key in all.iter().filter(|key| self.overdue_before.is_some_and(|before| key.0 < before)) {
            *overdue.entry(key.1).or_insert(0) += 1;
        }
        first_difference([
            (all == self.all, "attempts in flight"),
            (
                unanswered.iter().all(|(_, _, f)| f.unresponsive == expected_unresponsive(f.sent_at)),
                "unresponsive",
            ),
            (overdue == self.overdue_by_replica, "overdue by replica"),
        ])
    }
}
