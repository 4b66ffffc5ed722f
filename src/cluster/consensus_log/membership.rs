//! The membership defined by the log's entries. It is a function of the entries alone, so members that have
//! applied the same entries have the same membership.
//!
//! Invariants: there is one configuration per epoch, and an epoch is the index of the entry that created it;
//! an incarnation that has ended never becomes a member again; a voter is one name on one disk, and each name
//! has one voter.
mod snapshot;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

pub(super) use self::snapshot::MembershipSnapshot;
use super::command::{Command, Voter};
use crate::cluster::{Configuration, Member};

/// Maximum number of voters; further members are learners. Each further voter costs a message per entry, and
/// five voters tolerate the failure of any two.
pub const MAX_VOTERS: usize = 5;
/// Maximum number of members. Member lists are stored and sent as a whole.
pub const MAX_MEMBERS: usize = 4096;
/// Maximum number of open epochs. Further membership changes wait until one is closed: if an epoch were
/// dropped while work is pinned to it, that work could be started a second time.
pub const MAX_OPEN_EPOCHS: usize = 16;
/// Number of ended incarnations that are remembered for each name. An older one that requests admission again
/// has been superseded at least as many times.
const MAX_PAST_INCARNATIONS: usize = 64;

/// The effect of a committed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The members changed; contains the configuration of the new epoch.
    Reconfigured(Configuration),
    /// The command is accepted and handled by another component of the cluster.
    Accepted,
    /// The command's effect was already in place.
    Unchanged,
    /// The command has no effect, for this reason.
    Rejected(RejectionReason),
}

/// Reasons why a command has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// The name was taken by another incarnation in this epoch, which is newer than the one that the proposer
    /// knew.
    #[error("the name was taken by another incarnation in epoch {0}")]
    StaleEpoch(u64),
    /// This incarnation has ended.
    #[error("this incarnation of the member has ended")]
    IncarnationEnded,
    /// The incarnation is not a member.
    #[error("no such member")]
    NotAMember,
    /// The command would remove the last voter or close the newest epoch.
    #[error("the last voter cannot leave, and the newest epoch cannot be closed")]
    LastRemaining,
    /// The limit on these is reached.
    #[error("too many {0}")]
    LimitReached(&'static str),
    /// The members would not form a valid [`Configuration`]; contains the reason.
    #[error("{0}")]
    InvalidConfiguration(String),
}

/// The voter ids of all members by Raft role, each list in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftIds {
    /// Members that vote.
    pub voters: Vec<u64>,
    /// Members that receive the log and do not vote.
    pub learners: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct MemberEntry {
    voter: Voter,
    votes: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct NameHistory {
    /// The epoch in which the name was last taken by another incarnation.
    changed_in_epoch: u64,
    /// Ended incarnations, the newest last.
    past_incarnations: VecDeque<u64>,
}

/// The members, their history, and the configurations of the open epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    members: BTreeMap<Rc<str>, MemberEntry>,
    histories: BTreeMap<Rc<str>, NameHistory>,
    open_epochs: VecDeque<Configuration>,
    closed_epoch: u64,
}

type Change = Result<Option<(Configuration, Membership)>, RejectionReason>;

impl Membership {
    /// Creates the membership of the initial members, whose configuration has the epoch `epoch`. Voters are
    /// spread over zones like the acceptors of a work item.
    ///
    /// # Errors
    /// Returns [`RejectionReason::InvalidConfiguration`] if the members are not a valid [`Configuration`].
    pub fn bootstrap(epoch: u64, initial: Vec<Voter>) -> Result<Membership, RejectionReason> {
        let members: Vec<Member> = initial.iter().map(|voter| voter.member.clone()).collect();
        let config = configuration(epoch, members)?;
        let voting: Vec<Rc<str>> =
            config.group(b"log", MAX_VOTERS).iter().map(|member| member.id.name.clone()).collect();
        let mut membership = Membership::default();
        for voter in initial {
            let name = voter.member.id.name.clone();
            let votes = voting.contains(&name);
            let history = NameHistory { changed_in_epoch: epoch, past_incarnations: VecDeque::new() };
            membership.histories.insert(name.clone(), history);
            membership.members.insert(name, MemberEntry { voter, votes });
        }
        membership.open_epochs.push_back(config);
        Ok(membership)
    }

    /// Returns the configurations of the open epochs, the newest last.
    pub fn open_epochs(&self) -> impl DoubleEndedIterator<Item = &Configuration> {
        self.open_epochs.iter()
    }

    /// Returns the configuration of the newest epoch; `None` before this member has applied one.
    pub fn latest(&self) -> Option<&Configuration> {
        self.open_epochs.back()
    }

    /// Returns the newest closed epoch; all earlier ones are closed too.
    pub fn closed_epoch(&self) -> u64 {
        self.closed_epoch
    }

    /// Returns all members, voters and learners, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.members.values().map(|entry| &entry.voter)
    }

    /// Returns the voter ids of all members.
    pub fn raft_ids(&self) -> RaftIds {
        let mut ids = RaftIds { voters: Vec::new(), learners: Vec::new() };
        for entry in self.members.values() {
            let role = if entry.votes { &mut ids.voters } else { &mut ids.learners };
            role.push(entry.voter.voter_id());
        }
        ids.voters.sort_unstable();
        ids.learners.sort_unstable();
        ids
    }

    /// Evaluates `command` as the entry at `index`. Returns its outcome, and the resulting membership if it
    /// changes.
    pub fn evaluate(&self, index: u64, command: &Command) -> (CommandOutcome, Option<Membership>) {
        let change = match command {
            Command::Admit { voter, known_epoch } => self.admit(index, voter, *known_epoch),
            Command::Leave(id) => match self.members.get(&id.name) {
                Some(entry) if entry.voter.member.id == *id => self.remove(index, &id.name),
                _ => Err(RejectionReason::NotAMember),
            },
            Command::CloseEpoch(epoch) => return self.close(*epoch),
            Command::Layout(_) | Command::Plan(_) | Command::ClosedTimestamp { .. } => {
                return (CommandOutcome::Accepted, None)
            }
        };
        match change {
            Ok(Some((config, membership))) => (CommandOutcome::Reconfigured(config), Some(membership)),
            Ok(None) => (CommandOutcome::Unchanged, None),
            Err(reason) => (CommandOutcome::Rejected(reason), None),
        }
    }

    fn admit(&self, index: u64, voter: &Voter, known_epoch: u64) -> Change {
        let name = &voter.member.id.name;
        let current = self.members.get(name);
        if current.is_some_and(|entry| entry.voter == *voter) {
            return Ok(None);
        }
        if let Some(history) = self.histories.get(name) {
            if history.past_incarnations.contains(&voter.member.id.incarnation) {
                return Err(RejectionReason::IncarnationEnded);
            }
            if history.changed_in_epoch > known_epoch {
                return Err(RejectionReason::StaleEpoch(history.changed_in_epoch));
            }
        }
        if current.is_some_and(|entry| entry.voter.member.id == voter.member.id) {
            // An incarnation has exactly one disk, zone and address.
            return Err(RejectionReason::InvalidConfiguration(
                "this incarnation is already a member with another disk or address".into(),
            ));
        }
        let mut next = self.clone();
        let votes = current.map_or(self.voting_count() < MAX_VOTERS, |entry| entry.votes);
        next.end_incarnation(name, index);
        next.members.insert(name.clone(), MemberEntry { voter: voter.clone(), votes });
        next.open_epoch(index).map(Some)
    }

    fn remove(&self, index: u64, name: &Rc<str>) -> Change {
        let mut next = self.clone();
        next.end_incarnation(name, index);
        next.members.remove(name);
        if next.voting_count() < MAX_VOTERS {
            // Promote a learner in place of the voter that left.
            if let Some(entry) = next.members.values_mut().find(|entry| !entry.votes) {
                entry.votes = true;
            }
        }
        if next.voting_count() == 0 {
            return Err(RejectionReason::LastRemaining);
        }
        next.open_epoch(index).map(Some)
    }

    fn voting_count(&self) -> usize {
        self.members.values().filter(|entry| entry.votes).count()
    }

    fn end_incarnation(&mut self, name: &Rc<str>, index: u64) {
        let history = self.histories.entry(name.clone()).or_default();
        history.changed_in_epoch = index;
        if let Some(entry) = self.members.get(name) {
            history.past_incarnations.push_back(entry.voter.member.id.incarnation);
            if history.past_incarnations.len() > MAX_PAST_INCARNATIONS {
                history.past_incarnations.pop_front();
            }
        }
    }

    /// Opens the epoch `index` with the current members.
    fn open_epoch(mut self, index: u64) -> Result<(Configuration, Membership), RejectionReason> {
        if self.histories.len() > MAX_MEMBERS {
            return Err(RejectionReason::LimitReached("members"));
        }
        if self.open_epochs.len() >= MAX_OPEN_EPOCHS {
            return Err(RejectionReason::LimitReached("open epochs"));
        }
        let members = self.members().map(|voter| voter.member.clone()).collect();
        let config = configuration(index, members)?;
        self.open_epochs.push_back(config.clone());
        Ok((config, self))
    }

    /// Closes `epoch` and all earlier ones. The newest epoch cannot be closed.
    fn close(&self, epoch: u64) -> (CommandOutcome, Option<Membership>) {
        let newest = self.latest().map_or(0, Configuration::epoch);
        if epoch >= newest {
            return (CommandOutcome::Rejected(RejectionReason::LastRemaining), None);
        }
        if epoch <= self.closed_epoch {
            return (CommandOutcome::Unchanged, None);
        }
        let mut next = self.clone();
        next.open_epochs.retain(|config| config.epoch() > epoch);
        next.closed_epoch = epoch;
        (CommandOutcome::Accepted, Some(next))
    }
}

fn configuration(epoch: u64, members: Vec<Member>) -> Result<Configuration, RejectionReason> {
    Configuration::new(epoch, members).map_err(|e| RejectionReason::InvalidConfiguration(e.to_string()))
}
