//! The ground of one query through changes of the layout: which pieces are answered, which are still to be asked, and
//! of whom. Between planning and answer a tile may be cut (its piece is asked in several), joined to others (pieces of one query
//! are asked in one) or moved (asked elsewhere).
//!
//! Invariants:
//! - each piece of ground counts once: an answer counts only for the piece and under the plan by which it was asked;
//! - half a tile never counts as whole: a piece counts by its own exact weight, and pieces whose weights are not known
//!   count only once all of them are in;
//! - what is answered stays answered; a query about the past stays at its time.
use std::collections::BTreeMap;

use super::route::{follow, At, Chain, Ground, Part, Routed, Source};
use super::state::Layouts;
use super::{less, plus, zero, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

#[derive(Clone, Debug)]
struct Waiting {
    source: Source,
    plan: u32,
}

#[derive(Clone, Debug)]
struct Wanted {
    weight: Weight,
    lost: Weight,
    waiting: BTreeMap<TileId, Waiting>,
    /// What was answered: the sum of what is known, and whether there was some that is not.
    got: Weight,
    got_unknown: bool,
}

/// The pieces of a query.
#[derive(Clone, Debug)]
pub struct Tally {
    at: At,
    held: u64,
    plan: u32,
    parts: BTreeMap<TileId, Wanted>,
}

/// One request to one of several servers, for pieces that lie in one tile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub ask: TileId,
    pub pieces: Vec<Piece>,
    /// Together they are all of `ask`. Otherwise the server must leave out the ground that is not theirs.
    pub full: bool,
    pub holders: Vec<ReplicaId>,
}

/// What a request answers for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The tile, as the query knows it.
    pub of: TileId,
    /// The plan by which it is asked.
    pub plan: u32,
    /// The ground that is meant ([`Source::ground`]).
    pub ground: Vec<Chain>,
}

/// What an answer rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub got: Weight,
    pub lost: Weight,
    pub of: Weight,
}

impl Wanted {
    fn new(part: &Part, plan: u32) -> Wanted {
        let waiting = part.sources.iter().map(|s| (s.ask, Waiting { source: s.clone(), plan })).collect();
        Wanted { weight: part.weight, lost: part.lost, waiting, got: zero(), got_unknown: false }
    }

    /// What counts of it.
    fn counted(&self) -> Weight {
        let unknown = self.waiting.values().any(|w| w.source.weight.is_none());
        if !self.got_unknown || unknown {
            return self.got;
        }
        // All whose weight is not known is in: it is what is left beside the rest.
        let out = self.waiting.values().try_fold(self.lost, |sum, w| plus(sum, w.source.weight?));
        out.and_then(|out| less(self.weight, out)).unwrap_or(self.got)
    }
}

impl Tally {
    pub fn new(routed: &Routed) -> Tally {
        let parts = routed.parts.iter().map(|p| (p.tile, Wanted::new(p, 0))).collect();
        Tally { at: routed.at, held: routed.holders, plan: 0, parts }
    }

    /// All that is still to be asked, in the order of the tiles; pieces that lie in one tile in one request.
    pub fn requests(&self) -> Vec<Request> {
        let mut requests: BTreeMap<TileId, (Request, Option<Weight>)> = BTreeMap::new();
        for (of, wanted) in &self.parts {
            for (ask, Waiting { source, plan }) in &wanted.waiting {
                let new = || {
                    let holders = source.holders.clone();
                    (Request { ask: *ask, pieces: Vec::new(), full: false, holders }, Some(zero()))
                };
                let (request, sum) = requests.entry(*ask).or_insert_with(new);
                request.pieces.push(Piece { of: *of, plan: *plan, ground: source.ground.clone() });
                *sum = sum.zip(source.weight).and_then(|(a, b)| plus(a, b));
                request.full = *sum == Some(source.size);
            }
        }
        requests.into_values().map(|(request, _)| request).collect()
    }

    /// An answer for a piece came in, asked by a plan. False: it counts for nothing, since it was answered before or is
    /// asked otherwise by now.
    pub fn answered(&mut self, of: TileId, ask: TileId, plan: u32) -> bool {
        let Some(wanted) = self.parts.get_mut(&of) else { return false };
        if wanted.waiting.get(&ask).is_none_or(|w| w.plan != plan) {
            return false;
        }
        match wanted.waiting.remove(&ask).and_then(|w| w.source.weight) {
            Some(weight) => wanted.got = plus(wanted.got, weight).unwrap_or(wanted.got),
            None => wanted.got_unknown = true,
        }
        true
    }

    /// Go by the layout that is valid now. Pieces that are asked as before keep their plan, so that what is under way
    /// for them counts; the others are asked by a new one.
    pub fn redirect(&mut self, layouts: &Layouts, now: HybridTimestamp) {
        let held = layouts.version_at(now);
        // Only forward: another member's clock may be a little behind.
        if held.number <= self.held {
            return;
        }
        self.held = held.number;
        self.plan = self.plan.saturating_add(1);
        for wanted in self.parts.values_mut() {
            let before = std::mem::take(&mut wanted.waiting);
            let ground = |s: &Source| Ground { weight: s.weight, chains: s.ground.clone() };
            let open = before.iter().map(|(ask, w)| (*ask, ground(&w.source))).collect();
            // What is waited for is all but what is answered or lost; where that can't be told, the sum of what is known.
            let rest = plus(wanted.got, wanted.lost).and_then(|gone| less(wanted.weight, gone));
            let rest = rest.unwrap_or_else(zero);
            let (sources, lost) = follow(held, open, rest, self.at);
            if *lost.numer() > 0 {
                wanted.lost = plus(wanted.lost, lost).unwrap_or(wanted.weight);
            }
            for source in sources {
                let same = before.get(&source.ask).filter(|w| w.source.ground == source.ground);
                let plan = same.map_or(self.plan, |w| w.plan);
                wanted.waiting.insert(source.ask, Waiting { source, plan });
            }
        }
    }

    /// What an answer would rest on now.
    pub fn share(&self) -> Option<Share> {
        let none = Share { got: zero(), lost: zero(), of: zero() };
        self.parts.values().try_fold(none, |sum, wanted| {
            Some(Share {
                got: plus(sum.got, wanted.counted())?,
                lost: plus(sum.lost, wanted.lost)?,
                of: plus(sum.of, wanted.weight)?,
            })
        })
    }
}
