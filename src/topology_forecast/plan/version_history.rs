//! Determines whether a coordinator may answer a query at a given time, and under which version of the
//! layout.
use std::collections::VecDeque;

/// The number of changes that are remembered. It exceeds the number of changes that can be made within the
/// error bound of any clock.
const MAX_CHANGES: usize = 1024;

/// The time from which each version is valid, and closed time, at or before which no change can become valid
/// any more.
///
/// Invariant: times ascend, and a change is only accepted if it becomes valid after closed time. The result
/// of [`VersionHistory::answer_layout`] for a time at or before closed time is therefore final.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionHistory {
    closed: u64,
    /// The oldest version that is remembered, preceded by the time from which it is valid.
    first: (u64, u64),
    /// The later versions in ascending order, each preceded by the time from which it is valid.
    later: VecDeque<(u64, u64)>,
}

/// The result of [`VersionHistory::answer_layout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerLayout {
    /// The coordinator may answer under the layout with this version.
    Version(u64),
    /// The coordinator must not answer.
    None(NoAnswerReason),
}

/// Why a coordinator must not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswerReason {
    /// The time is after closed time, so a change that the coordinator has not received yet may be valid.
    NotClosed,
    /// The coordinator does not have the valid layout, whose version is given.
    NotReady(u64),
    /// Within the error of its clock, the coordinator cannot tell which of these two versions is valid, and
    /// the requested data differs between them.
    Ambiguous(u64, u64),
    /// The time is before the first version that is remembered.
    BeforeHistory,
}

impl VersionHistory {
    /// Creates a history in which this version is valid at all times.
    pub fn new(version: u64) -> VersionHistory {
        VersionHistory { closed: 0, first: (0, version), later: VecDeque::new() }
    }

    /// Returns closed time, at or before which no change can become valid any more.
    pub fn closed(&self) -> u64 {
        self.closed
    }

    /// Advances closed time to `until`. Has no effect if closed time is later already.
    pub fn close(&mut self, until: u64) {
        self.closed = self.closed.max(until);
    }

    /// Adds a version that is valid from `at`. Returns whether the version was accepted, which requires that
    /// `at` is after closed time and after the last change.
    pub fn change(&mut self, at: u64, version: u64) -> bool {
        let last = self.later.back().unwrap_or(&self.first).0;
        if at <= self.closed || at <= last {
            return false;
        }
        self.later.push_back((at, version));
        if self.later.len() > MAX_CHANGES {
            if let Some(first) = self.later.pop_front() {
                self.first = first;
            }
        }
        true
    }

    /// Returns the layout under which to answer at a cluster time in `earliest ..= latest`, the interval that
    /// extends from the time read from the clock by its error bound to both sides. `holds` returns whether
    /// this coordinator has a version. `differs` returns whether the requested data differs between two
    /// versions, and must return true if that is not known.
    pub fn answer_layout(
        &self,
        earliest: u64,
        latest: u64,
        holds: impl Fn(u64) -> bool,
        differs: impl Fn(u64, u64) -> bool,
    ) -> AnswerLayout {
        if latest > self.closed {
            return AnswerLayout::None(NoAnswerReason::NotClosed);
        }
        if earliest < self.first.0 {
            return AnswerLayout::None(NoAnswerReason::BeforeHistory);
        }
        let versions = || std::iter::once(&self.first).chain(&self.later);
        let since = versions().take_while(|(at, _)| *at <= earliest).last().unwrap_or(&self.first).0;
        let mut valid =
            versions().filter(|(at, _)| (since..=latest).contains(at)).map(|(_, version)| *version);
        let Some(mut version) = valid.next() else {
            return AnswerLayout::None(NoAnswerReason::BeforeHistory);
        };
        for next in valid {
            if differs(version, next) {
                return AnswerLayout::None(NoAnswerReason::Ambiguous(version, next));
            }
            version = next;
        }
        if holds(version) {
            return AnswerLayout::Version(version);
        }
        // The coordinator may answer under another version that it has if the requested data is the same.
        let same = |old: &u64| holds(*old) && !differs(*old, version);
        let equivalent = versions().filter(|(at, _)| *at <= latest).map(|(_, v)| *v).filter(same).last();
        equivalent.map_or(AnswerLayout::None(NoAnswerReason::NotReady(version)), AnswerLayout::Version)
    }
}
