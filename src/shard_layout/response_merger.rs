//! Merges the answers of one query across changes of the layout: tracks which pieces are answered, which
//! must still be requested, and from which servers. Between planning and answering, a tile may be split
//! (its piece is then requested from several tiles), merged with others (pieces of one query are requested
//! together) or moved (requested from other servers).
//!
//! Invariants:
//! - each piece of the area counts once: an answer counts only for the piece and the plan with which it was
//!   requested;
//! - a partial tile never counts as a complete one: a piece counts with its own exact weight, and pieces of
//!   unknown weight count only once all of them are answered;
//! - answered pieces remain answered, and a query about the past keeps its time.
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
    /// The plan with which it is requested.
    plan: u32,
}

/// The progress of one part of the query.
#[derive(Clone, Debug)]
struct PartProgress {
    weight: Weight,
    lost: Weight,
    pending: BTreeMap<TileId, PendingSource>,
    /// The sum of the known weights of the answered pieces.
    answered: Weight,
    /// Whether a piece of unknown weight was answered as well.
    has_unknown_answer: bool,
}

/// The answered and pending pieces of a query.
#[derive(Clone, Debug)]
pub struct ResponseMerger {
    at: ReadTimestamp,
    /// The version that determines the servers from which pending pieces are requested.
    holder_version: u64,
    plan: u32,
    parts: BTreeMap<TileId, PartProgress>,
}

/// A request to one of several servers, for pieces that lie in one tile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TileRequest {
    /// The tile whose servers receive the request.
    pub target: TileId,
    /// The pieces that the request covers; never empty.
    pub pieces: Vec<RequestedPiece>,
    /// Whether the pieces together cover all of `target`. Otherwise the server must leave out the rest of
    /// the area.
    pub covers_target: bool,
    /// The servers to which the request may be sent; never empty.
    pub holders: Vec<ReplicaId>,
}

/// A piece that a request covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedPiece {
    /// The tile of the query's part.
    pub tile: TileId,
    /// The plan with which the piece is requested. An answer must name it.
    pub plan: u32,
    /// The requested area, as described by [`Source::lineages`].
    pub lineages: Vec<Lineage>,
}

/// How much of the area of a query its answer covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The weight of the answered area.
    pub answered: Weight,
    /// The weight of the area that no server retains any more.
    pub lost: Weight,
    /// The weight of the whole requested area.
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

    /// Returns the weight that counts as answered.
    fn counted(&self) -> Weight {
        let unknown_is_pending = self.pending.values().any(|pending| pending.source.weight.is_none());
        if !self.has_unknown_answer || unknown_is_pending {
            return self.answered;
        }
        // All pieces of unknown weight are answered, so they make up the rest of the area.
        let mut pending = self.pending.values();
        let missing = pending.try_fold(self.lost, |sum, p| checked_add(sum, p.source.weight?));
        missing.and_then(|missing| checked_sub(self.weight, missing)).unwrap_or(self.answered)
    }

    /// Redirects the pending pieces to the holders in a newer version, as plan `plan`.
    fn redirect(&mut self, holder_version: &Version, at: ReadTimestamp, plan: u32) {
        let before = std::mem::take(&mut self.pending);
        let area = |source: &Source| Area { weight: source.weight, lineages: source.lineages.clone() };
        let areas = before.iter().map(|(target, pending)| (*target, area(&pending.source))).collect();
        // Everything that is neither answered nor lost is pending. If the answered weight is not fully
        // known, the sum of the known weights is used.
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
    /// Creates a merger for which all parts of the plan are pending.
    pub fn new(query: &QueryPlan) -> ResponseMerger {
        let parts = query.parts.iter().map(|part| (part.tile, PartProgress::new(part))).collect();
        ResponseMerger { at: query.at, holder_version: query.holder_version, plan: 0, parts }
    }

    /// Returns all outstanding requests in the order of their target tiles. Pieces that lie in the same
    /// tile are combined into one request.
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

    /// Records an answer for a piece of the part `tile` from a server of `target`, requested with `plan`.
    /// Returns whether the answer counts. It does not if the piece was answered before or is now requested
    /// differently.
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

    /// Redirects the pending pieces according to the layout that is valid at `now`. Pieces whose request
    /// does not change keep their plan, so that attempts in flight for them still count; the others get a
    /// new plan.
    pub fn redirect(&mut self, layouts: &Layouts, now: HybridTimestamp) {
        let version = layouts.version_at(now);
        // Only move forward, since another member's clock may be slightly behind.
        if version.number <= self.holder_version {
            return;
        }
        self.holder_version = version.number;
        self.plan = self.plan.saturating_add(1);
        for progress in self.parts.values_mut() {
            progress.redirect(version, self.at, self.plan);
        }
    }

    /// Returns the coverage that an answer would have now, or `None` if the weights cannot be added in 64
    /// bits.
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
