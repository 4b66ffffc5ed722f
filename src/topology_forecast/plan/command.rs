//! Entries of the log on plans, what becomes of them, and what a member has to do.
use std::fmt;
use std::rc::Rc;

use super::verdict::{Said, Why};
use super::Plans;
use crate::cluster::MemberId;
use crate::topology_forecast::forecast::Seen;

/// Where a plan is.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Proposed,
    /// Forecast, and within the limits.
    Forecast,
    /// Valid from T; observed from then on.
    Adopted {
        at: u64,
    },
    Kept,
    Reverted {
        at: u64,
    },
    Refused(Why),
    /// The layout was changed from elsewhere while it was observed: it can neither be kept nor reverted.
    Superseded,
}

impl Stage {
    pub fn over(&self) -> bool {
        !matches!(self, Stage::Proposed | Stage::Forecast | Stage::Adopted { .. })
    }
}

/// An entry of the log. Times are fleet time, Unix milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The members that count from here on.
    Members(Vec<MemberId>),
    /// A change of the layout that no plan made, valid at `at`.
    Changed {
        base: u64,
        digest: u64,
        at: u64,
    },
    /// No change at or before it can come any more.
    Close {
        until: u64,
    },
    /// `digest` is that of the topology that the plan makes; T is `not_before` or later.
    Propose {
        plan: Rc<str>,
        digest: u64,
        base: u64,
        not_before: u64,
    },
    /// The forecast, or after adoption the observation, is this member's.
    Claim {
        plan: Rc<str>,
        ballot: u64,
        by: MemberId,
    },
    Forecast {
        plan: Rc<str>,
        ballot: u64,
        by: MemberId,
        said: Said,
        now_ms: u64,
    },
    /// This life of a member holds the topology of `digest`.
    Ready {
        plan: Rc<str>,
        digest: u64,
        by: MemberId,
    },
    Adopt {
        plan: Rc<str>,
        base: u64,
        at: u64,
    },
    /// What was seen; should it be beyond the limits, the base is valid again from `back_at`.
    Observed {
        plan: Rc<str>,
        ballot: u64,
        by: MemberId,
        seen: Seen,
        back_at: u64,
    },
}

/// Why a command changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    Unknown,
    /// The plan is under way already, or its stage is another one.
    Stage,
    /// Compare-and-set failed.
    Base,
    /// It was reverted on a base of this content.
    Flaps,
    /// Another claim stands, or the member does not count.
    Claim,
    NotReady,
    /// Another plan is under observation.
    Observing,
    /// At or before closed time.
    Closed,
    /// Before the time that the plan names.
    Early,
    DemandOld,
    /// What was seen rests on too little of the traffic to decide on.
    Coverage,
    Full,
}

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dropped::Unknown => "no such plan",
            Dropped::Stage => "not at this stage",
            Dropped::Base => "the base has changed",
            Dropped::Flaps => "it was reverted on this base",
            Dropped::Claim => "another claim stands",
            Dropped::NotReady => "too few are ready",
            Dropped::Observing => "another plan is observed",
            Dropped::Closed => "that time is closed",
            Dropped::Early => "before its time",
            Dropped::DemandOld => "the demand is too old",
            Dropped::Coverage => "too little of the traffic was seen",
            Dropped::Full => "too many plans",
        })
    }
}

impl std::error::Error for Dropped {}

/// What a member has to do for a plan. Whoever does it twice does no harm: the log takes the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Todo {
    Claim { plan: Rc<str>, ballot: u64 },
    Forecast { plan: Rc<str>, ballot: u64 },
    Ready { plan: Rc<str> },
    Adopt { plan: Rc<str>, base: u64, not_before: u64 },
    Observe { plan: Rc<str>, ballot: u64 },
}

impl Plans {
    /// What `me` has to do now, by rumours of who is alive: they decide who moves first, and nothing else.
    pub fn todo(&self, me: &MemberId, alive: &dyn Fn(&MemberId) -> bool) -> Vec<Todo> {
        let mut out = Vec::new();
        for (plan, entry) in self.plans.iter().filter(|(_, e)| !self.is_over(e)) {
            let first = self.members.iter().find(|m| alive(m)) == Some(me);
            let (plan, ballot) = (plan.clone(), entry.ballot);
            if !matches!(entry.stage, Stage::Adopted { .. })
                && !entry.ready.contains(me)
                && self.members.contains(me)
            {
                out.push(Todo::Ready { plan: plan.clone() });
            }
            match (&entry.stage, &entry.claim) {
                (Stage::Forecast, _) if first && self.is_ready(entry) => {
                    out.push(Todo::Adopt { plan, base: entry.base, not_before: entry.not_before });
                }
                (Stage::Forecast, _) => (),
                (Stage::Adopted { .. }, Some(by)) if by == me => out.push(Todo::Observe { plan, ballot }),
                (_, Some(by)) if by == me => out.push(Todo::Forecast { plan, ballot }),
                (_, Some(by)) if alive(by) && self.members.contains(by) => (),
                _ if first => out.push(Todo::Claim { plan, ballot: ballot + 1 }),
                _ => (),
            }
        }
        out
    }
}
