//! Keys by a time: the next that is due is found without going through the others.
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A time in seconds as a key, in the total order of floating-point numbers.
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

/// Keys in the order of their times; each is in it at most once.
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
    /// Insert a key, or move it to another time.
    pub fn set(&mut self, key: K, at: f64) {
        if let Some(old) = self.times.insert(key, TimeKey(at)) {
            self.order.remove(&(old, key));
        }
        self.order.insert((TimeKey(at), key));
    }

    /// Remove a key; returns whether it was in.
    pub fn remove(&mut self, key: K) -> bool {
        let at = self.times.remove(&key);
        at.is_some_and(|at| self.order.remove(&(at, key)))
    }

    /// Remove the earliest key if it is due. Whatever is due at a time must be due at any earlier one.
    pub fn pop_due(&mut self, is_due: impl Fn(f64) -> bool) -> Option<K> {
        let (at, key) = self.order.first().copied().filter(|(at, _)| is_due(at.0))?;
        self.order.remove(&(at, key));
        self.times.remove(&key);
        Some(key)
    }

    /// The time of a key, in seconds.
    pub fn time(&self, key: K) -> Option<f64> {
        self.times.get(&key).map(|at| at.0)
    }

    /// All keys in their own order.
    pub fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.times.keys().copied()
    }

    /// How many keys are in.
    pub fn len(&self) -> usize {
        self.times.len()
    }
}
