//! Plans: from proposal to adoption and back. A state machine over the commands of the one replicated log, applied in
//! its order by every member: the same log makes the same state. Commands may come late, twice, or from a member that
//! has died meanwhile.
//!
//! Kept at all times:
//! - A layout's version goes up by one with each adoption, reversal or other change, and a plan is adopted only on the
//!   version that it was proposed on (compare-and-set): never on two bases.
//! - One plan at most is under observation, so that going back leads to its base and nothing else. A change from
//!   elsewhere meanwhile ends the observation: that plan is never reverted.
//! - A time T is set only behind closed time: nobody can have answered at T or later by then.
//! - A result counts for the claim that stands, and once.
//! - A plan that was reverted may not come again on a base of the same content.
mod command;
mod gate;
mod verdict;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub use command::{Command, Dropped, Stage, Todo};
pub use gate::{History, Nothing, Under};
pub use verdict::{Need, Rules, Said, Why};

use super::forecast::Seen;
use crate::cluster::MemberId;

/// Plans and reversals that are remembered: the oldest that are over are forgotten first. A plan may flap once more
/// after so many others were reverted.
pub const MOST_PLANS: usize = 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub digest: u64,
    pub base: u64,
    pub not_before: u64,
    /// Content of that base.
    base_digest: u64,
    pub stage: Stage,
    pub said: Option<Said>,
    /// Ballots go up over all claims of a name, so that a result of an earlier round counts for none.
    ballot: u64,
    claim: Option<MemberId>,
    ready: BTreeSet<MemberId>,
    /// Its place among proposals: the oldest that is over goes first.
    order: u64,
}

/// The state that the log makes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plans {
    rules: Rules,
    version: u64,
    digest: u64,
    members: BTreeSet<MemberId>,
    plans: BTreeMap<Rc<str>, Entry>,
    observed: Option<Rc<str>>,
    /// Content of a plan and of the base that it was reverted on.
    reverted: VecDeque<(u64, u64)>,
    history: History,
    proposals: u64,
}

impl Plans {
    /// From a layout of this version and content, valid since ever.
    pub fn new(rules: Rules, version: u64, digest: u64) -> Plans {
        Plans {
            rules,
            version,
            digest,
            members: BTreeSet::new(),
            plans: BTreeMap::new(),
            observed: None,
            reverted: VecDeque::new(),
            history: History::new(version),
            proposals: 0,
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn plan(&self, name: &str) -> Option<&Entry> {
        self.plans.get(name)
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    /// Apply the log's next entry. An error changes nothing.
    pub fn apply(&mut self, command: &Command) -> Result<(), Dropped> {
        match command {
            Command::Members(members) => {
                self.members = members.iter().cloned().collect();
                Ok(())
            }
            Command::Changed { base, digest, at } => {
                self.step(*base, *digest, *at)?;
                if let Some(entry) = self.observed.take().and_then(|name| self.plans.get_mut(&name)) {
                    entry.stage = Stage::Superseded;
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
                let entry = self.plans.get_mut(plan).ok_or(Dropped::Unknown)?;
                if !matches!(entry.stage, Stage::Proposed | Stage::Adopted { .. }) {
                    return Err(Dropped::Stage);
                }
                if *ballot <= entry.ballot || !counts {
                    return Err(Dropped::Claim);
                }
                (entry.ballot, entry.claim) = (*ballot, Some(by.clone()));
                Ok(())
            }
            Command::Forecast { plan, ballot, by, said, now_ms } => {
                let version = self.version;
                let verdict = self.rules.verdict(said, *now_ms);
                let entry = self.claimed(plan, *ballot, by)?;
                if entry.stage != Stage::Proposed {
                    return Err(Dropped::Stage);
                }
                let verdict = if entry.base == version { verdict } else { Err(Why::BaseChanged) };
                entry.stage = verdict.map_or_else(Stage::Refused, |()| Stage::Forecast);
                (entry.said, entry.claim) = (Some(said.clone()), None);
                Ok(())
            }
            Command::Ready { plan, digest, by } => {
                let counts = self.members.contains(by);
                let entry =
                    self.plans.get_mut(plan).filter(|e| e.digest == *digest).ok_or(Dropped::Unknown)?;
                if entry.stage.over() {
                    return Err(Dropped::Stage);
                }
                if !counts {
                    return Err(Dropped::Claim);
                }
                entry.ready.insert(by.clone());
                Ok(())
            }
            Command::Adopt { plan, base, at } => self.adopt(plan, *base, *at),
            Command::Observed { plan, ballot, by, seen, back_at } => {
                self.observe(plan, *ballot, by, seen, *back_at)
            }
        }
    }

    /// The entry whose claim this is.
    fn claimed(&mut self, plan: &str, ballot: u64, by: &MemberId) -> Result<&mut Entry, Dropped> {
        let entry = self.plans.get_mut(plan).ok_or(Dropped::Unknown)?;
        match entry.ballot == ballot && entry.claim.as_ref() == Some(by) {
            true => Ok(entry),
            false => Err(Dropped::Claim),
        }
    }

    /// The one way to another version: compare-and-set.
    fn step(&mut self, base: u64, digest: u64, at: u64) -> Result<(), Dropped> {
        if base != self.version {
            return Err(Dropped::Base);
        }
        if !self.history.change(at, base + 1) {
            return Err(Dropped::Closed);
        }
        (self.version, self.digest) = (base + 1, digest);
        Ok(())
    }

    fn propose(&mut self, plan: &Rc<str>, digest: u64, base: u64, not_before: u64) -> Result<(), Dropped> {
        let known = self.plans.get(plan);
        if known.is_some_and(|e| !self.is_over(e)) {
            return Err(Dropped::Stage);
        }
        if base != self.version {
            return Err(Dropped::Base);
        }
        if self.reverted.contains(&(digest, self.digest)) {
            return Err(Dropped::Flaps);
        }
        let ballot = known.map_or(0, |e| e.ballot);
        if known.is_none() && self.plans.len() >= MOST_PLANS {
            let over = self.plans.iter().filter(|(_, e)| self.is_over(e));
            let oldest = over.min_by_key(|(_, e)| e.order).map(|(name, _)| name.clone());
            self.plans.remove(&oldest.ok_or(Dropped::Full)?);
        }
        self.proposals += 1;
        let entry = Entry {
            digest,
            base,
            not_before,
            base_digest: self.digest,
            stage: Stage::Proposed,
            said: None,
            ballot,
            claim: None,
            ready: BTreeSet::new(),
            order: self.proposals,
        };
        self.plans.insert(plan.clone(), entry);
        Ok(())
    }

    /// Over, or never to be adopted any more, since its base has changed.
    fn is_over(&self, entry: &Entry) -> bool {
        entry.stage.over() || !(matches!(entry.stage, Stage::Adopted { .. }) || entry.base == self.version)
    }

    /// Whether those that the settings ask for are ready, each in the life that counts now.
    fn is_ready(&self, entry: &Entry) -> bool {
        let ready = || self.members.iter().filter(|m| entry.ready.contains(m));
        match &self.rules.ready {
            Need::All => !self.members.is_empty() && ready().count() == self.members.len(),
            Need::Share(share) => {
                ready().count() as f64 >= (share * self.members.len() as f64).ceil().max(1.0)
            }
            Need::Names(names) => names.iter().all(|n| ready().any(|m| m.name == *n)),
        }
    }

    fn adopt(&mut self, plan: &Rc<str>, base: u64, at: u64) -> Result<(), Dropped> {
        let entry = self.plans.get(plan).ok_or(Dropped::Unknown)?;
        if entry.stage != Stage::Forecast {
            return Err(Dropped::Stage);
        }
        if base != entry.base {
            return Err(Dropped::Base);
        }
        if at < entry.not_before {
            return Err(Dropped::Early);
        }
        if self.observed.is_some() {
            return Err(Dropped::Observing);
        }
        if !self.is_ready(entry) {
            return Err(Dropped::NotReady);
        }
        if entry.said.as_ref().is_none_or(|s| self.rules.verdict(s, at) == Err(Why::DemandOld)) {
            return Err(Dropped::DemandOld);
        }
        let digest = entry.digest;
        self.step(base, digest, at)?;
        self.observed = Some(plan.clone());
        if let Some(entry) = self.plans.get_mut(plan) {
            entry.stage = Stage::Adopted { at };
        }
        Ok(())
    }

    fn observe(
        &mut self,
        plan: &Rc<str>,
        ballot: u64,
        by: &MemberId,
        seen: &Seen,
        back_at: u64,
    ) -> Result<(), Dropped> {
        let entry = self.claimed(plan, ballot, by)?.clone();
        if !matches!(entry.stage, Stage::Adopted { .. }) || self.observed.as_ref() != Some(plan) {
            return Err(Dropped::Stage);
        }
        if self.rules.share_least > seen.coverage || seen.coverage.is_nan() {
            return Err(Dropped::Coverage);
        }
        let stage = if self.rules.holds(seen) {
            Stage::Kept
        } else {
            self.step(self.version, entry.base_digest, back_at)?;
            if self.reverted.len() >= MOST_PLANS {
                self.reverted.pop_front();
            }
            self.reverted.push_back((entry.digest, entry.base_digest));
            Stage::Reverted { at: back_at }
        };
        self.observed = None;
        if let Some(entry) = self.plans.get_mut(plan) {
            (entry.stage, entry.claim) = (stage, None);
        }
        Ok(())
    }
}
