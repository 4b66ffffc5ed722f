//! Sketches of bounded size for heavy hitters, distinct counts and latencies. The type of each sketch
//! documents its error.
use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;

/// Counts heavy hitters by the space-saving algorithm (Metwally, Agrawal, El Abbadi 2005). At most `capacity`
/// keys are tracked.
///
/// Invariants: the counts add up to the number of additions; the true count of a tracked key lies in `count -
/// error ..= count`; a key that is not tracked was added at most [`HeavyHitters::untracked_bound`] times,
/// which is at most the number of additions divided by `capacity`.
#[derive(Clone, Debug)]
pub struct HeavyHitters<K> {
    capacity: usize,
    tracked: BTreeMap<K, (u64, u64)>,
    by_count: BTreeSet<(u64, K)>,
}

impl<K: Ord + Clone> HeavyHitters<K> {
    /// Creates a sketch without counts that tracks at most `capacity` keys, but at least 1.
    pub fn new(capacity: usize) -> HeavyHitters<K> {
        HeavyHitters { capacity: capacity.max(1), tracked: BTreeMap::new(), by_count: BTreeSet::new() }
    }

    /// Counts a key once.
    pub fn add(&mut self, key: K) {
        let (count, error) = match self.tracked.get(&key) {
            Some((count, error)) => {
                self.by_count.remove(&(*count, key.clone()));
                (*count, *error)
            }
            None if self.tracked.len() < self.capacity => (0, 0),
            None => match self.by_count.pop_first() {
                Some((min_count, evicted)) => {
                    self.tracked.remove(&evicted);
                    (min_count, min_count)
                }
                None => (0, 0),
            },
        };
        self.by_count.insert((count.saturating_add(1), key.clone()));
        self.tracked.insert(key, (count.saturating_add(1), error));
    }

    /// Returns the largest number of times that a key that is not tracked may have been added.
    pub fn untracked_bound(&self) -> u64 {
        let is_full = self.tracked.len() >= self.capacity;
        self.by_count.first().filter(|_| is_full).map_or(0, |(count, _)| *count)
    }

    /// Iterates over the tracked keys in their order, each with its count and error.
    pub fn iter(&self) -> impl Iterator<Item = (&K, u64, u64)> {
        self.tracked.iter().map(|(k, (count, error))| (k, *count, *error))
    }
}

/// The number of registers of a [`DistinctCounter`]: the standard error is 1.04 / sqrt(256), or 6.5 %.
pub const REGISTERS: usize = 256;
/// The standard error of [`DistinctCounter::estimate`], as a share of the estimate.
pub const DISTINCT_ERROR: f64 = 0.065;

/// Counts distinct clients by HyperLogLog (Flajolet et al. 2007). The crate `hyperloglogplus` is not used
/// because it does not expose its registers, and because a value that it accepts by serde may panic later, so
/// that its counters cannot be exchanged between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistinctCounter(Vec<u8>);

impl Default for DistinctCounter {
    fn default() -> Self {
        DistinctCounter(vec![0; REGISTERS])
    }
}

impl DistinctCounter {
    /// Counts a client. `client` is any number that identifies it, and need not be uniformly distributed.
    pub fn add(&mut self, client: u64) {
        // The finalizer of SplitMix64 distributes numbers that are not uniformly distributed. Without it,
        // they could all fall into one register.
        let mut mixed = client.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let rank = ((mixed >> 8) | 1 << 56).trailing_zeros() as u8 + 1;
        if let Some(register) = self.0.get_mut((mixed & 0xff) as usize) {
            *register = rank.max(*register);
        }
    }

    /// Merges another counter into this one. The result counts the union of both sets of clients.
    pub fn merge(&mut self, other: &DistinctCounter) {
        self.0.iter_mut().zip(&other.0).for_each(|(a, b)| *a = (*a).max(*b));
    }

    /// Returns the estimated number of distinct clients, with a standard error of [`DISTINCT_ERROR`].
    pub fn estimate(&self) -> f64 {
        let n = REGISTERS as f64;
        let raw =
            0.7213 / (1.0 + 1.079 / n) * n * n / self.0.iter().map(|r| 0.5f64.powi((*r).into())).sum::<f64>();
        let empty = self.0.iter().filter(|r| **r == 0).count();
        if raw <= 2.5 * n && empty > 0 {
            n * (n / empty as f64).ln()
        } else {
            raw
        }
    }

    /// Iterates over the registers that are not zero, each as its index and value.
    pub fn nonzero_registers(&self) -> impl Iterator<Item = (u8, u8)> + '_ {
        (0..=255).zip(self.0.iter().copied()).filter(|(_, v)| *v > 0)
    }

    /// Restores a counter from its nonzero registers. Returns `None` if a value is out of the range that a
    /// hash can produce, 1 to 57.
    pub fn from_registers(registers: impl Iterator<Item = (u8, u8)>) -> Option<DistinctCounter> {
        let mut counter = DistinctCounter::default();
        for (at, value) in registers {
            *counter.0.get_mut(usize::from(at)).filter(|_| (1..=57).contains(&value))? = value;
        }
        Some(counter)
    }
}

/// The largest time that is distinguished, in microseconds. Longer times are counted as this one. In practice
/// no attempt lasts that long.
pub const MAX_TIME_US: u64 = 600_000_000;

/// A histogram of times in microseconds with a relative error of at most 1 %. It has at most 3,100 buckets,
/// which follows from [`MAX_TIME_US`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeHistogram(Option<Histogram<u64>>);

impl TimeHistogram {
    /// Counts a time in microseconds `n` times.
    pub fn add(&mut self, us: u64, n: u64) {
        if self.0.is_none() {
            // Creation only fails for more than five significant digits.
            self.0 = Histogram::new(2).ok();
        }
        if let Some(histogram) = &mut self.0 {
            // Recording never fails, because the histogram resizes itself and the value is bounded.
            let _ = histogram.record_n(us.clamp(1, MAX_TIME_US), n);
        }
    }

    /// Returns the number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, |h| h.len())
    }

    /// Returns the mean in microseconds; 0 if nothing was recorded.
    pub fn mean(&self) -> f64 {
        self.0.as_ref().map_or(0.0, |h| h.mean())
    }

    /// Returns the quantile `q`, from 0 to 1, in microseconds; 0 if nothing was recorded.
    pub fn quantile(&self, q: f64) -> u64 {
        self.0.as_ref().map_or(0, |h| h.value_at_quantile(q))
    }

    /// Returns the share of times over `us` microseconds.
    pub fn share_over(&self, us: f64) -> f64 {
        let at = (us.max(0.0) as u64).min(MAX_TIME_US);
        let within = self.0.as_ref().map_or(0, |h| h.count_between(0, at));
        1.0 - within as f64 / self.count().max(1) as f64
    }

    /// Returns the buckets that are not empty, each as its greatest time in microseconds and its count.
    pub fn buckets(&self) -> Vec<(u64, u64)> {
        let buckets = self.0.iter().flat_map(|h| h.iter_recorded());
        buckets.map(|v| (v.value_iterated_to(), v.count_at_value())).collect()
    }
}
