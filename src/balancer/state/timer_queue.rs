//! A queue of keys by time, in which the next due key is found without visiting the others.
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A time in seconds as an ordered key (total order of floating-point numbers).
#[derive(Clone, Copy, Debug)]
pub struct TimeKey(pub f64);

impl Ord for TimeKey {
    fn cmp(&self, other: &TimeKey) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for TimeKey {
    fn partial_cmp(&self, other: &TimeKey) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TimeKey {
    fn eq(&self, other: &TimeKey) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimeKey {}

/// Keys ordered by time; each key is contained at most once.
pub struct TimerQueue<K> {
    times: BTreeMap<K, TimeKey>,
    order: BTreeSet<(TimeKey, K)>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> TimerQueue<K> {
        TimerQueue { times: BTreeMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> TimerQueue<K> {
    /// Inserts a key or changes its time.
    pub fn set(&mut self, key: K, at: f64) {
        if let Some(old) = self.times.insert(key, TimeKey(at)) {
            self.order.remove(&(old, key));
        }
        self.order.insert((TimeKey(at), key));
    }

    /// Removes a key; returns whether it was contained.
    pub fn remove(&mut self, key: K) -> bool {
        let at = self.times.remove(&key);
        at.is_some_and(|at| self.order.remove(&(at, key)))
    }

    /// Removes and returns the earliest key if it is due. A predicate that holds for a time must
    /// hold for all earlier times.
    pub fn pop_due(&mut self, is_due: impl Fn(f64) -> bool) -> Option<K> {
        let (at, key) = self.order.first().copied().filter(|(at, _)| is_due(at.0))?;
        self.order.remove(&(at, key));
        self.times.remove(&key);
        Some(key)
    }

    /// Returns the time of a key in seconds.
    pub fn time(&self, key: K) -> Option<f64> {
        self.times.get(&key).map(|at| at.0)
    }

    /// Iterates over all keys in key order.
    pub fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.times.keys().copied()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.times.len()
    }
}
