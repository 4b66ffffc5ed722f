//! The answers of one query through changes of the layout: which pieces are answered, which are still to be requested,
//! and from whom. Between plan and answer a tile may be split (its piece is requested in several), merged with others
//! (pieces of one query are requested together) or moved (requested elsewhere).
//!
//! Invariants:
//! - each piece of the area counts once: an answer counts only for the piece and under the plan by which it was
//!   requested;
//! - half a tile never counts as a complete one: a piece counts by its own exact weight, and pieces of unknown weight
//!   count only once all of them are in;
//! - what is answered stays answered; a query about the past stays at its time.
use std::collections::BTreeMap;

use super::route::{follow, Area, Lineage, Part, QueryPlan, ReadTimestamp, Source};
use super::state::Layouts;
use super::version::Version;
use super::{checked_add, checked_sub, zero, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

#[derive(Clone, Debug)]
struct PendingSource {
    source: Source,
    /// The plan by which it is requested.
    plan: u32,
}

/// How far one part of the query is.
#[derive(Clone, Debug)]
struct PartProgress {
    weight: Weight,
    lost: Weight,
    pending: BTreeMap<TileId, PendingSource>,
    /// The sum of the known weights that were answered.
    answered: Weight,
    /// Whether an answer of unknown weight came in too.
    has_unknown_answer: bool,
}

/// The pieces of a query, answered and pending.
#[derive(Clone, Debug)]
pub struct ResponseMerger {
    at: ReadTimestamp,
    /// The version whose holders the pending pieces are requested from.
    holder_version: u64,
    plan: u32,
    parts: BTreeMap<TileId, PartProgress>,
}

/// One request to one of several servers, for pieces that lie in one tile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TileRequest {
    /// The tile whose servers are asked.
    pub target: TileId,
    /// The pieces that the request answers for; never empty.
    pub pieces: Vec<RequestedPiece>,
    /// Together they are all of `target`. Otherwise the server must leave out the area that is not theirs.
    pub covers_target: bool,
    /// The servers that may be asked; never empty.
    pub holders: Vec<ReplicaId>,
}

/// What a request answers for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedPiece {
    /// The tile as the query knows it: the part's own.
    pub tile: TileId,
    /// The plan by which it is requested; an answer must name it.
    pub plan: u32,
    /// The area that is meant ([`Source::lineages`]).
    pub lineages: Vec<Lineage>,
}

/// How much of a query's area its answer rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// What is answered.
    pub answered: Weight,
    /// What no server retains any more.
    pub lost: Weight,
    /// All that was asked for.
    pub total: Weight,
}

impl PartProgress {
    fn new(part: &Part) -> PartProgress {
        let pending = |source: &Source| (source.target, PendingSource { source: source.clone(), plan: 0 });
        PartProgress {
            weight: part.weight,
            lost: part.lost,
            pending: part.sources.iter().map(pending).collect(),
            answered: zero(),
            has_unknown_answer: false,
        }
    }

    /// What counts as answered.
    fn counted(&self) -> Weight {
        let unknown_is_pending = self.pending.values().any(|pending| pending.source.weight.is_none());
        if !self.has_unknown_answer || unknown_is_pending {
            return self.answered;
        }
        // All pieces of unknown weight are in: they are what is left beside the rest.
        let mut pending = self.pending.values();
        let missing = pending.try_fold(self.lost, |sum, p| checked_add(sum, p.source.weight?));
        missing.and_then(|missing| checked_sub(self.weight, missing)).unwrap_or(self.answered)
    }

    /// Directs the pending pieces to the holders of a newer version, as plan `plan`.
    fn redirect(&mut self, holder_version: &Version, at: ReadTimestamp, plan: u32) {
        let before = std::mem::take(&mut self.pending);
        let area = |source: &Source| Area { weight: source.weight, lineages: source.lineages.clone() };
        let areas = before.iter().map(|(target, pending)| (*target, area(&pending.source))).collect();
        // Pending is all but what is answered or lost; where that is not known, the sum of what is known.
        let done = checked_add(self.answered, self.lost);
        let rest = done.and_then(|done| checked_sub(self.weight, done)).unwrap_or_else(zero);
        let followed = follow(holder_version, areas, rest, at);
        if *followed.lost.numer() > 0 {
            self.lost = checked_add(self.lost, followed.lost).unwrap_or(self.weight);
        }
        for source in followed.sources {
            let unchanged = before.get(&source.target).filter(|p| p.source.lineages == source.lineages);
            let plan = unchanged.map_or(plan, |pending| pending.plan);
            self.pending.insert(source.target, PendingSource { source, plan });
        }
    }
}

impl ResponseMerger {
    /// All parts of the plan are to be requested.
    pub fn new(query: &QueryPlan) -> ResponseMerger {
        let parts = query.parts.iter().map(|part| (part.tile, PartProgress::new(part))).collect();
        ResponseMerger { at: query.at, holder_version: query.holder_version, plan: 0, parts }
    }

    /// All that is still to be requested, in the order of the target tiles; pieces that lie in one tile come in one
    /// request.
    pub fn requests(&self) -> Vec<TileRequest> {
        let mut requests: BTreeMap<TileId, (TileRequest, Option<Weight>)> = BTreeMap::new();
        for (tile, progress) in &self.parts {
            for (target, PendingSource { source, plan }) in &progress.pending {
                let new = || {
                    let holders = source.holders.clone();
                    let pieces = Vec::new();
                    let request = TileRequest { target: *target, pieces, covers_target: false, holders };
                    (request, Some(zero()))
                };
                let (request, sum) = requests.entry(*target).or_insert_with(new);
                let lineages = source.lineages.clone();
                request.pieces.push(RequestedPiece { tile: *tile, plan: *plan, lineages });
                *sum = sum.zip(source.weight).and_then(|(a, b)| checked_add(a, b));
                request.covers_target = *sum == Some(source.target_weight);
            }
        }
        requests.into_values().map(|(request, _)| request).collect()
    }

    /// An answer for a piece came in: for the part `tile`, from a server of `target`, requested by `plan`. Returns
    /// whether it counts. It does not if the piece was answered before or is requested otherwise by now.
    pub fn record_answer(&mut self, tile: TileId, target: TileId, plan: u32) -> bool {
        let Some(progress) = self.parts.get_mut(&tile) else { return false };
        if progress.pending.get(&target).is_none_or(|pending| pending.plan != plan) {
            return false;
        }
        match progress.pending.remove(&target).and_then(|pending| pending.source.weight) {
            Some(weight) => {
                progress.answered = checked_add(progress.answered, weight).unwrap_or(progress.answered);
            }
            None => progress.has_unknown_answer = true,
        }
        true
    }

    /// Goes by the layout that is valid now. Pieces that are requested as before keep their plan, so that attempts in
    /// flight for them count; the others are requested by a new one.
    pub fn redirect(&mut self, layouts: &Layouts, now: HybridTimestamp) {
        let version = layouts.version_at(now);
        // Only forward: another member's clock may be a little behind.
        if version.number <= self.holder_version {
            return;
        }
        self.holder_version = version.number;
        self.plan = self.plan.saturating_add(1);
        for progress in self.parts.values_mut() {
            progress.redirect(version, self.at, self.plan);
        }
    }

    /// What an answer would rest on now; `None` where the weights can't be added in 64 bits.
    pub fn coverage(&self) -> Option<Coverage> {
        let none = Coverage { answered: zero(), lost: zero(), total: zero() };
        self.parts.values().try_fold(none, |sum, progress| {
            Some(Coverage {
                answered: checked_add(sum.answered, progress.counted())?,
                lost: checked_add(sum.lost, progress.lost)?,
                total: checked_add(sum.total, progress.weight)?,
            })
        })
    }
}
