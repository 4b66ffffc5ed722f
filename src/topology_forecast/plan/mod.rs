//! The rollout of topology plans, from proposal to adoption, and the reversal of those that prove wrong. It
//! is a deterministic state machine: every member applies the commands of the replicated log in the same
//! order, and gets the same state. Commands may arrive late, more than once, or from a member that has failed
//! since.
//!
//! Invariants:
//! - The version of the layout increases by one with each adoption, reversal or other change. A plan is
//!   adopted only on the version that it was proposed on (compare-and-set), so it is never applied to a
//!   different base.
//! - At most one plan is under observation, so that its reversal restores exactly its base. Any other change
//!   of the layout ends the observation, and that plan is never reverted.
//! - A version is valid only from a time after closed time, so no member can have answered under another
//!   version at that time or later.
//! - A result is accepted only from the claim that is in force, and only once.
//! - A plan that was reverted cannot be proposed again on a base with the same content.
mod command;
mod verdict;
mod version_history;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub use command::{Command, CommandError, MemberTask, PlanStage};
pub use verdict::{ForecastSummary, Readiness, RejectionReason, VerdictLimits};
pub use version_history::{AnswerLayout, NoAnswerReason, VersionHistory};

use super::forecast::Observation;
use crate::cluster::MemberId;

/// The number of plans and of reversals that are remembered. The oldest final plans are forgotten first. A
/// reverted plan may be proposed again once this many others have been reverted after it.
pub const MAX_PLANS: usize = 1024;

/// The state of one plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRecord {
    /// The digest of the resulting topology.
    pub digest: u64,
    /// The version that the plan changes.
    pub base: u64,
    /// The earliest time of its adoption, cluster time in Unix milliseconds.
    pub not_before: u64,
    /// The digest of the base.
    base_digest: u64,
    /// The stage of the plan.
    pub stage: PlanStage,
    /// The figures of its forecast, once there is one.
    pub summary: Option<ForecastSummary>,
    /// The ballot of the last claim. Ballots increase over all claims for a plan name, so that a late result
    /// of an earlier claim is not accepted.
    ballot: u64,
    claim: Option<MemberId>,
    ready: BTreeSet<MemberId>,
    /// The sequence number of the proposal; of the final plans, the one with the lowest is forgotten first.
    order: u64,
}

/// The state of all plans after a prefix of the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStateMachine {
    limits: VerdictLimits,
    version: u64,
    digest: u64,
    members: BTreeSet<MemberId>,
    plans: BTreeMap<Rc<str>, PlanRecord>,
    observed: Option<Rc<str>>,
    /// The digests of reverted plans, each with that of its base.
    reverted: VecDeque<(u64, u64)>,
    history: VersionHistory,
    proposals: u64,
}

impl PlanStateMachine {
    /// Creates the state before the first command: the topology with this version and digest is valid at all
    /// times.
    pub fn new(limits: VerdictLimits, version: u64, digest: u64) -> PlanStateMachine {
        PlanStateMachine {
            limits,
            version,
            digest,
            members: BTreeSet::new(),
            plans: BTreeMap::new(),
            observed: None,
            reverted: VecDeque::new(),
            history: VersionHistory::new(version),
            proposals: 0,
        }
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the state of a plan.
    pub fn plan(&self, name: &str) -> Option<&PlanRecord> {
        self.plans.get(name)
    }

    /// Returns the times from which the versions are valid.
    pub fn history(&self) -> &VersionHistory {
        &self.history
    }

    /// Applies the next command of the log.
    ///
    /// # Errors
    /// The reason why the command was rejected; the state is then unchanged.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub fn apply(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Members(members) => {
                self.members = members.iter().cloned().collect();
                Ok(())
            }
            Command::Changed { base, digest, at } => {
                self.advance(*base, *digest, *at)?;
                if let Some(entry) = self.observed.take().and_then(|name| self.plans.get_mut(&name)) {
                    entry.stage = PlanStage::Superseded;
                }
                Ok(())
            }
            Command::Close { until } => {
                self.history.close(*until);
                Ok(())
            }
            Command::Propose { plan, digest, base, not_before } => {
                self.propose(plan, *digest, *base, *not_before)
            }
            Command::Claim { plan, ballot, by } => {
                let counts = self.members.contains(by);
                let entry = self.plans.get_mut(plan).ok_or(CommandError::Unknown)?;
                if !matches!(entry.stage, PlanStage::Proposed | PlanStage::Adopted { .. }) {
                    return Err(CommandError::Stage);
                }
                if *ballot <= entry.ballot || !counts {
                    return Err(CommandError::Claim);
                }
                entry.ballot = *ballot;
                entry.claim = Some(by.clone());
                Ok(())
            }
            Command::Forecast { plan, ballot, by, summary, now_ms } => {
                let version = self.version;
                let verdict = self.limits.verdict(summary, *now_ms);
                let entry = self.claimed(plan, *ballot, by)?;
                if entry.stage != PlanStage::Proposed {
                    return Err(CommandError::Stage);
                }
                let verdict = if entry.base == version { verdict } else { Err(RejectionReason::BaseChanged) };
                entry.stage = verdict.map_or_else(PlanStage::Rejected, |()| PlanStage::Forecast);
                entry.summary = Some(summary.clone());
                entry.claim = None;
                Ok(())
            }
            Command::Ready { plan, digest, by } => {
                let counts = self.members.contains(by);
                let entry =
                    self.plans.get_mut(plan).filter(|e| e.digest == *digest).ok_or(CommandError::Unknown)?;
                if entry.stage.is_final() {
                    return Err(CommandError::Stage);
                }
                if !counts {
                    return Err(CommandError::Claim);
                }
                entry.ready.insert(by.clone());
                Ok(())
            }
            Command::Adopt { plan, base, at } => self.adopt(plan, *base, *at),
            Command::Observed { plan, ballot, by, observation, back_at } => {
                self.observe(plan, *ballot, by, observation, *back_at)
            }
        }
    }

    /// Returns the record of a plan, if this claim is in force.
    fn claimed(&mut self, plan: &str, ballot: u64, by: &MemberId) -> Result<&mut PlanRecord, CommandError> {
        let entry = self.plans.get_mut(plan).ok_or(CommandError::Unknown)?;
        if entry.ballot != ballot || entry.claim.as_ref() != Some(by) {
            return Err(CommandError::Claim);
        }
        Ok(entry)
    }

    /// Changes to the next version by compare-and-set. This is the only way in which the version changes.
    fn advance(&mut self, base: u64, digest: u64, at: u64) -> Result<(), CommandError> {
        if base != self.version {
            return Err(CommandError::Base);
        }
        if !self.history.change(at, base + 1) {
            return Err(CommandError::Closed);
        }
        self.version = base + 1;
        self.digest = digest;
        Ok(())
    }

    fn propose(
        &mut self,
        plan: &Rc<str>,
        digest: u64,
        base: u64,
        not_before: u64,
    ) -> Result<(), CommandError> {
        let known = self.plans.get(plan);
        if known.is_some_and(|e| !self.is_finished(e)) {
            return Err(CommandError::Stage);
        }
        if base != self.version {
            return Err(CommandError::Base);
        }
        if self.reverted.contains(&(digest, self.digest)) {
            return Err(CommandError::AlreadyReverted);
        }
        let ballot = known.map_or(0, |e| e.ballot);
        if known.is_none() && self.plans.len() >= MAX_PLANS {
            let over = self.plans.iter().filter(|(_, e)| self.is_finished(e));
            let oldest = over.min_by_key(|(_, e)| e.order).map(|(name, _)| name.clone());
            self.plans.remove(&oldest.ok_or(CommandError::Full)?);
        }
        self.proposals += 1;
        let entry = PlanRecord {
            digest,
            base,
            not_before,
            base_digest: self.digest,
            stage: PlanStage::Proposed,
            summary: None,
            ballot,
            claim: None,
            ready: BTreeSet::new(),
            order: self.proposals,
        };
        self.plans.insert(plan.clone(), entry);
        Ok(())
    }

    /// Returns whether a plan is final, or can never be adopted any more because its base has changed.
    fn is_finished(&self, entry: &PlanRecord) -> bool {
        entry.stage.is_final()
            || !(matches!(entry.stage, PlanStage::Adopted { .. }) || entry.base == self.version)
    }

    /// Returns whether the members that the limits require are ready, each in its present incarnation.
    fn is_ready(&self, entry: &PlanRecord) -> bool {
        let ready = || self.members.iter().filter(|m| entry.ready.contains(m));
        match &self.limits.ready {
            Readiness::All => !self.members.is_empty() && ready().count() == self.members.len(),
            Readiness::Share(share) => {
                ready().count() as f64 >= (share * self.members.len() as f64).ceil().max(1.0)
            }
            Readiness::Names(names) => names.iter().all(|n| ready().any(|m| m.name == *n)),
        }
    }

    fn adopt(&mut self, plan: &Rc<str>, base: u64, at: u64) -> Result<(), CommandError> {
        let entry = self.plans.get(plan).ok_or(CommandError::Unknown)?;
        if entry.stage != PlanStage::Forecast {
            return Err(CommandError::Stage);
        }
        if base != entry.base {
            return Err(CommandError::Base);
        }
        if at < entry.not_before {
            return Err(CommandError::Early);
        }
        if self.observed.is_some() {
            return Err(CommandError::Observing);
        }
        if !self.is_ready(entry) {
            return Err(CommandError::NotReady);
        }
        if entry
            .summary
            .as_ref()
            .is_none_or(|s| self.limits.verdict(s, at) == Err(RejectionReason::DemandOld))
        {
            return Err(CommandError::DemandOld);
        }
        let digest = entry.digest;
        self.advance(base, digest, at)?;
        self.observed = Some(plan.clone());
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.stage = PlanStage::Adopted { at };
        }
        Ok(())
    }

    fn observe(
        &mut self,
        plan: &Rc<str>,
        ballot: u64,
        by: &MemberId,
        observation: &Observation,
        back_at: u64,
    ) -> Result<(), CommandError> {
        let entry = self.claimed(plan, ballot, by)?.clone();
        if !matches!(entry.stage, PlanStage::Adopted { .. }) || self.observed.as_ref() != Some(plan) {
            return Err(CommandError::Stage);
        }
        if self.limits.min_share > observation.coverage || observation.coverage.is_nan() {
            return Err(CommandError::Coverage);
        }
        let stage = if self.limits.accepts(observation) {
            PlanStage::Accepted
        } else {
            self.advance(self.version, entry.base_digest, back_at)?;
            if self.reverted.len() >= MAX_PLANS {
                self.reverted.pop_front();
            }
            self.reverted.push_back((entry.digest, entry.base_digest));
            PlanStage::Reverted { at: back_at }
        };
        self.observed = None;
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.stage = stage;
            entry.claim = None;
        }
        Ok(())
    }
}
