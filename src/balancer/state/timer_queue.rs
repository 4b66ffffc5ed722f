//! Keys by a time: the next that is due is found without going through the others.
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A time as a key.
#[derive(Clone, Copy, Debug)]
pub struct At(pub f64);

impl Ord for At {
    fn cmp(&self, other: &At) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for At {
    fn eq(&self, other: &At) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for At {}

/// Keys in the order of their times; each is in once.
pub struct Due<K> {
    at: BTreeMap<K, At>,
    order: BTreeSet<(At, K)>,
}

impl<K> Default for Due<K> {
    fn default() -> Due<K> {
        Due { at: BTreeMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> Due<K> {
    /// Put a key in, or move it to another time.
    pub fn set(&mut self, key: K, at: f64) {
        if let Some(old) = self.at.insert(key, At(at)) {
            self.order.remove(&(old, key));
        }
        self.order.insert((At(at), key));
    }

    /// Take a key out; whether it was in.
    pub fn remove(&mut self, key: K) -> bool {
        let at = self.at.remove(&key);
        at.is_some_and(|at| self.order.remove(&(at, key)))
    }

    /// Take out the earliest key, if that is due. What is due at a time must be due at any earlier one.
    pub fn pop(&mut self, due: impl Fn(f64) -> bool) -> Option<K> {
        let (at, key) = self.order.first().copied().filter(|(at, _)| due(at.0))?;
        self.order.remove(&(at, key));
        self.at.remove(&key);
        Some(key)
    }

    pub fn time(&self, key: K) -> Option<f64> {
        self.at.get(&key).map(|at| at.0)
    }

    pub fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.at.keys().copied()
    }

    pub fn len(&self) -> usize {
        self.at.len()
    }
}
