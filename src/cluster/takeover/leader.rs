//! A piece of work that this member leads, as its owner or as a successor: what it knows of its guards.
use std::collections::BTreeMap;
use std::rc::Rc;

use super::record::Record;
use super::slot::Accepted;
use super::ExecutionKey;
use crate::cluster::{MemberId, Micros};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Asks the groups of older epochs never to open it.
    Seal,
    /// Collects promises.
    Prepare,
    /// Writes under its ballot.
    Lead,
}

/// What one guard of the group has said to this ballot.
#[derive(Clone, Debug, Default)]
pub struct Vote {
    pub promised: bool,
    pub seq: u64,
    /// When the last accept that it acknowledged was sent.
    pub sent: Micros,
    pub rejected: bool,
    pub full: bool,
}

/// What members of an older group said.
#[derive(Debug)]
pub struct PreviousGroup {
    pub epoch: u64,
    pub group: Vec<MemberId>,
    pub sealed: Vec<bool>,
    pub exists: Vec<bool>,
    /// No room for the seal there.
    pub full: Vec<bool>,
}

#[derive(Debug, Default)]
pub struct PartState {
    /// Granted under earlier ballots: those attempts count as made.
    pub base: u8,
    /// Granted, and standing with a majority.
    pub stable: u8,
    /// What the last write with a grant of it brings, and its place.
    pub pending: Option<(u64, u8)>,
    /// Attempts made, one bit each.
    pub made: u8,
    /// Somebody waits until so many are granted and the lease holds; 0: nobody.
    pub waits: u8,
}

#[derive(Debug)]
pub struct LeaderState {
    pub key: ExecutionKey,
    pub group: Rc<[MemberId]>,
    pub rank: usize,
    pub ballot: u64,
    pub phase: Phase,
    pub votes: Vec<Vote>,
    pub olds: Vec<PreviousGroup>,
    pub best: Option<Accepted>,
    /// What is to be opened if nothing was yet.
    pub seed: Option<Record>,
    pub record: Record,
    pub seq: u64,
    /// The place of the first write under this ballot, and of the one with the outcome.
    pub first: u64,
    pub outcome_at: Option<u64>,
    pub parts: BTreeMap<(u8, u32), PartState>,
    pub started: bool,
    pub takeover: bool,
    pub refused: bool,
    /// Something must be written now, or by then.
    pub dirty: bool,
    pub write_by: Option<Micros>,
    pub deadline: Micros,
    pub keep: Micros,
    pub resend: Micros,
    /// When its lease was last seen to hold; at first, when this ballot began to be led.
    pub held: Micros,
}

pub fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// The next ballot of a rank above one that was seen. None if there is none left.
pub fn next_ballot(above: Option<u64>, size: usize, rank: usize) -> Option<u64> {
    let (size, rank) = (size as u64, rank as u64);
    let round = above.map_or(0, |b| b / size).checked_add(1)?;
    round.checked_mul(size)?.checked_add(rank)
}

impl LeaderState {
    pub fn new(key: ExecutionKey, group: Rc<[MemberId]>, rank: usize, now: Micros) -> LeaderState {
        let votes = vec![Vote::default(); group.len()];
        LeaderState {
            key,
            group,
            rank,
            ballot: 0,
            phase: Phase::Prepare,
            votes,
            olds: Vec::new(),
            best: None,
            seed: None,
            record: Record::default(),
            seq: 0,
            first: 0,
            outcome_at: None,
            parts: BTreeMap::new(),
            started: false,
            takeover: false,
            refused: false,
            dirty: false,
            write_by: None,
            deadline: now,
            keep: now,
            resend: now,
            held: now,
        }
    }

    /// The sequence number of the last write that a majority holds.
    pub fn majority_seq(&self) -> u64 {
        let mut seqs: Vec<u64> = self.votes.iter().map(|v| v.seq).collect();
        seqs.sort_unstable_by(|a, b| b.cmp(a));
        seqs.get(majority(seqs.len()) - 1).copied().unwrap_or(0)
    }

    pub fn count(&self, says: impl Fn(&Vote) -> bool) -> usize {
        self.votes.iter().filter(|v| says(v)).count()
    }

    /// So many have said no that no majority is left.
    pub fn hopeless(&self, says: impl Fn(&Vote) -> bool) -> bool {
        self.count(says) > self.votes.len() - majority(self.votes.len())
    }

    /// A new ballot: nothing that was said to the last counts.
    pub fn prepare(&mut self, ballot: u64) {
        self.ballot = ballot;
        self.phase = Phase::Prepare;
        self.best = None;
        self.votes.fill(Vote::default());
    }

    /// Writes from now on. `goes_on`: the record was found, so all that it grants counts as made.
    pub fn lead(&mut self, record: Record, seq: u64, goes_on: bool) {
        self.phase = Phase::Lead;
        for part in &record.parts {
            let granted = part.granted.min(255) as u8;
            let base = if goes_on { granted } else { 0 };
            let state = PartState { base, stable: base, ..PartState::default() };
            self.parts.insert((part.step.min(255) as u8, part.shard), state);
        }
        self.record = record;
        self.seq = seq;
        self.first = seq + 1;
        self.dirty = true;
    }

    /// Takes the next place in the row for what has changed.
    pub fn write(&mut self) {
        self.dirty = false;
        self.write_by = None;
        self.seq += 1;
        if self.record.over() && self.outcome_at.is_none() {
            self.outcome_at = Some(self.seq);
        }
        for part in &self.record.parts {
            if let Some(state) = self.parts.get_mut(&(part.step.min(255) as u8, part.shard)) {
                let granted = part.granted.min(255) as u8;
                if granted > state.pending.map_or(state.stable, |(_, g)| g) {
                    state.pending = Some((self.seq, granted));
                }
            }
        }
    }

    /// Notes the grants that a majority holds, and gives those that are waited for, if the lease holds.
    pub fn granted(&mut self, holds: bool) -> Vec<(u8, u32, u8)> {
        let majority_seq = self.majority_seq();
        let mut granted = Vec::new();
        for ((step, shard), state) in &mut self.parts {
            if let Some((_, n)) = state.pending.filter(|(seq, _)| *seq <= majority_seq) {
                (state.stable, state.pending) = (n, None);
            }
            if holds && state.waits > 0 && state.stable >= state.waits {
                state.waits = 0;
                granted.push((*step, *shard, state.stable));
            }
        }
        granted
    }
}
