//! Under which layout a coordinator may answer at a moment, and when it may under none.
use std::collections::VecDeque;

/// Changes that are remembered: more than can lie within any clock's bound.
const MOST: usize = 1024;

/// When each version became valid, and closed time.
///
/// Invariant: times go up, and a change is taken only behind closed time. So what [`History::under`] says of a time at
/// or before closed time holds for good.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    closed: u64,
    /// First time and version, the oldest first; never empty.
    first: (u64, u64),
    later: VecDeque<(u64, u64)>,
}

/// The layout to answer under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Under {
    Version(u64),
    Nothing(Nothing),
}

/// Why a coordinator answers nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nothing {
    /// A change that it has not heard of may be valid.
    NotClosed,
    /// It does not hold the layout that is valid.
    NotReady(u64),
    /// Its clock can't tell which of two layouts is valid, and what is asked for differs between them.
    Between(u64, u64),
    /// Before the first version that it knows.
    Forgotten,
}

impl History {
    pub fn new(version: u64) -> History {
        History { closed: 0, first: (0, version), later: VecDeque::new() }
    }

    pub fn closed(&self) -> u64 {
        self.closed
    }

    pub fn close(&mut self, until: u64) {
        self.closed = self.closed.max(until);
    }

    /// Whether it was taken.
    pub fn change(&mut self, at: u64, version: u64) -> bool {
        let last = self.later.back().unwrap_or(&self.first).0;
        if at <= self.closed || at <= last {
            return false;
        }
        self.later.push_back((at, version));
        if self.later.len() > MOST {
            if let Some(first) = self.later.pop_front() {
                self.first = first;
            }
        }
        true
    }

    /// The layout for an answer at fleet time `earliest ..= latest`, the clock's bound to each side. `holds` tells
    /// which versions this coordinator has; `differs` whether what is asked for differs between two of them, and may
    /// only say no where it knows.
    pub fn under(
        &self,
        earliest: u64,
        latest: u64,
        holds: impl Fn(u64) -> bool,
        differs: impl Fn(u64, u64) -> bool,
    ) -> Under {
        if latest > self.closed {
            return Under::Nothing(Nothing::NotClosed);
        }
        if earliest < self.first.0 {
            return Under::Nothing(Nothing::Forgotten);
        }
        let all = || std::iter::once(&self.first).chain(&self.later);
        let since = all().take_while(|(at, _)| *at <= earliest).last().unwrap_or(&self.first).0;
        let mut valid = all().filter(|(at, _)| (since..=latest).contains(at)).map(|(_, version)| *version);
        let Some(mut version) = valid.next() else { return Under::Nothing(Nothing::Forgotten) };
        for next in valid {
            if differs(version, next) {
                return Under::Nothing(Nothing::Between(version, next));
            }
            version = next;
        }
        if holds(version) {
            return Under::Version(version);
        }
        // An older one serves what it has as the valid one has it.
        let same = |old: &u64| holds(*old) && !differs(*old, version);
        let old = all().filter(|(at, _)| *at <= latest).map(|(_, v)| *v).filter(same).last();
        old.map_or(Under::Nothing(Nothing::NotReady(version)), Under::Version)
    }
}
