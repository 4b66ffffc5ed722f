//! The attempts in flight by the time they were sent: which of them are overdue is found without going
//! through the others, nor through the replicas. An attempt that streams is not in it: it is answered.
use std::collections::{BTreeMap, BTreeSet};

use super::audit::first_difference;
use super::timer_queue::TimeKey;
use super::{InFlightAttempt, Replica};
use crate::balancer::interface::{PartId, ReplicaId};

/// When an attempt was sent, where, and its part and number.
type AttemptKey = (TimeKey, ReplicaId, (PartId, u8));

/// An index of all attempts in flight.
#[derive(Default)]
pub struct InFlightIndex {
    all: BTreeSet<AttemptKey>,
    /// What was sent before that time was returned as unresponsive.
    unresponsive_before: Option<TimeKey>,
    /// What was sent before that time was returned as unheard.
    unheard_before: Option<TimeKey>,
    /// What was sent before that time is counted in `overdue_by_replica`.
    overdue_before: Option<TimeKey>,
    overdue_by_replica: BTreeMap<ReplicaId, usize>,
    /// Replicas that changed their zone: what they hold may count against the new one.
    changed_zone: BTreeSet<ReplicaId>,
    /// Entries gone through so far.
    pub entries_visited: usize,
}

/// All that was sent from the one time on and before the other.
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
    /// An attempt was sent; `replaced` is the one of the same name that was in flight there, if any.
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

    /// An attempt was answered, or its value began to come.
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

    /// A replica is in another zone now.
    pub fn record_zone_change(&mut self, replica: ReplicaId) {
        self.changed_zone.insert(replica);
    }

    /// Attempts sent before a time that were not so at any earlier call, by replica, part and number.
    pub fn newly_unresponsive(&mut self, before: f64) -> Vec<(ReplicaId, (PartId, u8))> {
        let before = TimeKey(before);
        let sent = sent_between(&self.all, self.unresponsive_before, before);
        let mut found: Vec<_> = sent.map(|(_, replica, attempt)| (*replica, *attempt)).collect();
        found.sort_unstable();
        self.entries_visited += found.len();
        self.unresponsive_before = self.unresponsive_before.max(Some(before));
        found
    }

    /// Attempts sent before a time that were not so at any earlier call, and those of replicas that changed
    /// their zone since they were sent: their replica, and when they were sent, in seconds.
    pub fn newly_unheard(&mut self, before: f64) -> Vec<(ReplicaId, f64)> {
        let before = TimeKey(before);
        let sent = sent_between(&self.all, self.unheard_before, before);
        let mut found: Vec<_> = sent.map(|(sent_at, replica, _)| (*replica, sent_at.0)).collect();
        self.entries_visited += found.len();
        self.unheard_before = self.unheard_before.max(Some(before));
        if !self.changed_zone.is_empty() {
            // Prevents missing one that was overdue once, and is so again only after its replica moved.
            let moved = std::mem::take(&mut self.changed_zone);
            let seen = self.unheard_before.unwrap_or(before);
            for &(sent_at, replica, _) in sent_between(&self.all, None, seen) {
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

    /// How many replicas have not answered what was sent before a time.
    pub fn replicas_overdue(&mut self, before: f64) -> usize {
        let old = self.overdue_before.unwrap_or(TimeKey(f64::NEG_INFINITY));
        let new = TimeKey(before);
        for (_, replica, _) in sent_between(&self.all, Some(old), new) {
            *self.overdue_by_replica.entry(*replica).or_insert(0) += 1;
            self.entries_visited += 1;
        }
        // The time may lie before that of the last call.
        let no_longer: Vec<_> = sent_between(&self.all, Some(new), old).map(|key| key.1).collect();
        self.entries_visited += no_longer.len();
        for replica in no_longer {
            self.decrement_overdue(replica);
        }
        self.overdue_before = Some(new);
        self.overdue_by_replica.len()
    }

    /// Compares with a fresh count over all that the replicas hold.
    ///
    /// # Errors
    ///
    /// The name of the first sum or index that differs.
    pub fn check(&self, replicas: &BTreeMap<ReplicaId, Replica>) -> Result<(), &'static str> {
        let attempts = replicas.iter().flat_map(|(id, r)| {
            r.in_flight.iter().map(move |(attempt, in_flight)| (*id, *attempt, *in_flight))
        });
        let unanswered: Vec<_> = attempts.filter(|(_, _, in_flight)| !in_flight.is_streaming).collect();
        let all: BTreeSet<AttemptKey> = unanswered
            .iter()
            .map(|(id, attempt, in_flight)| (TimeKey(in_flight.sent_at), *id, *attempt))
            .collect();
        let noticed = |sent_at: f64| self.unresponsive_before.is_some_and(|at| TimeKey(sent_at) < at);
        let mut overdue = BTreeMap::new();
        for key in all.iter().filter(|key| self.overdue_before.is_some_and(|before| key.0 < before)) {
            *overdue.entry(key.1).or_insert(0) += 1;
        }
        first_difference([
            (all == self.all, "attempts in flight"),
            (unanswered.iter().all(|(_, _, f)| f.unresponsive == noticed(f.sent_at)), "unresponsive"),
            (overdue == self.overdue_by_replica, "overdue by replica"),
        ])
    }
}
