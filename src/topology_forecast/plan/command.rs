//! The commands on plans in the replicated log, the stages of a plan, and the tasks of a member.
use std::rc::Rc;

use super::verdict::{ForecastSummary, RejectionReason};
use super::PlanStateMachine;
use crate::cluster::MemberId;
use crate::topology_forecast::forecast::Observation;

/// The stage of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStage {
    /// The plan waits for its forecast.
    Proposed,
    /// The forecast is within the limits; the plan waits for members to be ready.
    Forecast,
    /// The plan is valid from `at`, and is observed from then on.
    Adopted {
        /// Cluster time in Unix milliseconds.
        at: u64,
    },
    /// The observation is within the limits. Final.
    Accepted,
    /// The observation exceeds the limits: the base is valid again from `at`. Final.
    Reverted {
        /// Cluster time in Unix milliseconds.
        at: u64,
    },
    /// The forecast exceeds a limit, or the base has changed. Final.
    Rejected(RejectionReason),
    /// Another change of the layout came during the observation, so that the plan can neither be accepted nor
    /// reverted. Final.
    Superseded,
}

impl PlanStage {
    /// Returns whether the stage never changes again.
    pub fn is_final(&self) -> bool {
        !matches!(self, PlanStage::Proposed | PlanStage::Forecast | PlanStage::Adopted { .. })
    }
}

/// A command in the replicated log. Times are cluster time in Unix milliseconds; a digest is
/// [`Topology::digest`].
///
/// [`Topology::digest`]: crate::topology_forecast::Topology::digest
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sets the members of the cluster.
    Members(Vec<MemberId>),
    /// Records a change of the layout that was not made by a plan, valid from `at`.
    Changed { base: u64, digest: u64, at: u64 },
    /// Closes the times up to `until`: no change becomes valid at or before it any more.
    Close { until: u64 },
    /// Proposes a plan. `digest` is that of the resulting topology; the time of adoption is `not_before` or
    /// later.
    Propose { plan: Rc<str>, digest: u64, base: u64, not_before: u64 },
    /// Assigns the forecast or, after adoption, the observation to a member.
    Claim { plan: Rc<str>, ballot: u64, by: MemberId },
    /// Records the result of a forecast.
    Forecast { plan: Rc<str>, ballot: u64, by: MemberId, summary: ForecastSummary, now_ms: u64 },
    /// Records that this incarnation of a member holds the topology with this digest.
    Ready { plan: Rc<str>, digest: u64, by: MemberId },
    /// Adopts the plan, which becomes valid at `at`.
    Adopt { plan: Rc<str>, base: u64, at: u64 },
    /// Records the result of an observation. If it exceeds the limits, the base is valid again from
    /// `back_at`.
    Observed { plan: Rc<str>, ballot: u64, by: MemberId, observation: Observation, back_at: u64 },
}

/// Why a command was rejected without any effect. The result is the same on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// There is no plan with this name and content.
    #[error("no such plan")]
    Unknown,
    /// The plan is in progress already, or at another stage.
    #[error("not allowed at the plan's stage")]
    Stage,
    /// The plan is based on another version: the compare-and-set failed.
    #[error("the base has changed")]
    Base,
    /// A plan with the same content was reverted on a base with the same content.
    #[error("the plan was reverted on this base before")]
    AlreadyReverted,
    /// Another claim is in force, or the member is not in the cluster.
    #[error("the claim is not in force")]
    Claim,
    /// Too few members hold the new topology.
    #[error("too few members are ready")]
    NotReady,
    /// Another plan is under observation.
    #[error("another plan is under observation")]
    Observing,
    /// The change would be valid at or before closed time.
    #[error("the time is closed")]
    Closed,
    /// The plan would be valid before its earliest time.
    #[error("earlier than the plan allows")]
    Early,
    /// The demand of the forecast would be too old by then.
    #[error("the demand is too old")]
    DemandOld,
    /// The observation covers too little of the traffic.
    #[error("the observation covers too little of the traffic")]
    Coverage,
    /// The maximum number of plans is in progress.
    #[error("too many plans in progress")]
    Full,
}

/// A task of a member for a plan, each of which ends in a command. Tasks may be done more than once: only the
/// first command takes effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberTask {
    /// Claim the forecast or the observation.
    Claim { plan: Rc<str>, ballot: u64 },
    /// Compute the forecast.
    Forecast { plan: Rc<str>, ballot: u64 },
    /// Load the topology and report that it is ready.
    Ready { plan: Rc<str> },
    /// Adopt the plan.
    Adopt { plan: Rc<str>, base: u64, not_before: u64 },
    /// Compare the observed demand with the forecast.
    Observe { plan: Rc<str>, ballot: u64 },
}

impl PlanStateMachine {
    /// Returns the present tasks of the member `me`. `alive` comes from gossip, and only determines which
    /// member claims and adopts; the result of a command never depends on it.
    pub fn tasks(&self, me: &MemberId, alive: &dyn Fn(&MemberId) -> bool) -> Vec<MemberTask> {
        let mut out = Vec::new();
        for (plan, entry) in self.plans.iter().filter(|(_, e)| !self.is_finished(e)) {
            let first = self.members.iter().find(|m| alive(m)) == Some(me);
            let (plan, ballot) = (plan.clone(), entry.ballot);
            if !matches!(entry.stage, PlanStage::Adopted { .. })
                && !entry.ready.contains(me)
                && self.members.contains(me)
            {
                out.push(MemberTask::Ready { plan: plan.clone() });
            }
            match (&entry.stage, &entry.claim) {
                (PlanStage::Forecast, _) if first && self.is_ready(entry) => {
                    out.push(MemberTask::Adopt { plan, base: entry.base, not_before: entry.not_before });
                }
                (PlanStage::Forecast, _) => (),
                (PlanStage::Adopted { .. }, Some(by)) if by == me => {
                    out.push(MemberTask::Observe { plan, ballot })
                }
                (_, Some(by)) if by == me => out.push(MemberTask::Forecast { plan, ballot }),
                (_, Some(by)) if alive(by) && self.members.contains(by) => (),
                _ if first => out.push(MemberTask::Claim { plan, ballot: ballot + 1 }),
                _ => (),
            }
        }
        out
    }
}
