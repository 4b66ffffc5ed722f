//! Bootstrap: agreement on the initial members of a cluster. [`Bootstrap`] implements it for a cluster with a
//! log, [`first_configuration`] for one without.
//!
//! [`Bootstrap`] tracks a member's progress from an empty disk to the id of its cluster. The initial members
//! are those listed in the operator's file, once all of them have been heard from and none knows a cluster
//! yet. It is a state machine without I/O, clock or randomness and never writes or sends by itself: messages
//! and ticks go in, [`BootstrapAction`]s come out.
//!
//! Each member durably accepts the set of names, incarnations and disks that it sees, before it announces
//! that it did. A set is chosen when all of its members have announced that they accepted it.
//!
//! Invariant: no two clusters bootstrapped from one file can both commit anything. It follows from these
//! rules:
//! - A set is chosen only by all of its members, so two chosen sets were both accepted by each member whose
//!   disk is in both.
//! - A member replaces an accepted set by a later one only if it and other members, together a majority of
//!   the disks of the earlier set, announce with the same disks that they know no cluster. No majority of the
//!   earlier set can have proceeded then, and each member that has accepted the later set rejects the earlier
//!   one from then on.
//! - A member returns to the earlier set only if a member of the later set announces that it is in another
//!   cluster, because then the later set can no longer be chosen.
//!
//! If most disks of an accepted set are lost, the operator has to decide. `docs/design-log.md` gives the
//! correctness argument.
#![warn(missing_docs)]

pub mod first_configuration;
mod members;
mod message;

use std::collections::BTreeMap;
use std::rc::Rc;

pub use self::members::InitialMembers;
pub use self::message::BootstrapMessage;
use super::consensus_log::Voter;

/// Bootstrap progress of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    /// The member has not accepted any set.
    Empty,
    /// The member has accepted these initial members and does not know whether all of them have.
    Accepted(InitialMembers),
    /// The member knows the id of its cluster, as an initial member or because it joined later.
    Bootstrapped(u64),
}

/// An action returned by [`Bootstrap::ready`]. Actions must be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapAction {
    /// Make the accepted members durable before starting the next action.
    PersistAccepted(InitialMembers),
    /// Send this message to every member in the file. Repeated at each tick.
    Broadcast(BootstrapMessage),
    /// All members have accepted the set: start the log with [`super::consensus_log::StoredLog::bootstrap`],
    /// durably before the next action.
    Bootstrapped {
        /// The id of the new cluster.
        cluster_id: u64,
        /// Its initial members.
        members: InitialMembers,
    },
    /// A cluster without this incarnation exists: start the log with
    /// [`super::consensus_log::StoredLog::joining`], durably before the next action, and request admission.
    Join {
        /// The id of that cluster.
        cluster_id: u64,
    },
    /// Bootstrap cannot proceed until the operator acts. Returned once for each reason.
    Failed(BootstrapError),
}

/// Reasons why a member cannot be bootstrapped without the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// Most disks of the accepted set were replaced, those of these members. The set may have proceeded
    /// without this member.
    #[error(
        "bootstrap interrupted: most disks of the accepted set are gone ({}); \
         remove the stores of the remaining members to bootstrap again",
        .0.join(", ")
    )]
    MajorityLost(Vec<Rc<str>>),
    /// A member in the file belongs to a different cluster than this one.
    #[error("member '{name}' belongs to another cluster, {cluster_id:x}")]
    OtherCluster {
        /// The name of that member.
        name: Rc<str>,
        /// The id of its cluster.
        cluster_id: u64,
    },
}

/// Bootstrap state of one member.
pub struct Bootstrap {
    cluster_name: Rc<str>,
    /// The names of the other members in the operator's file.
    others: Vec<Rc<str>>,
    local: Voter,
    state: BootstrapState,
    /// The last message received from each other member in the file.
    last_messages: BTreeMap<Rc<str>, BootstrapMessage>,
    error: Option<BootstrapError>,
    actions: Vec<BootstrapAction>,
}

impl Bootstrap {
    /// Resumes from `state`, which is what the local disk holds. `names` are the members in the operator's
    /// file, including the local one.
    pub fn new(cluster_name: &str, names: &[Rc<str>], local: Voter, state: BootstrapState) -> Bootstrap {
        let is_other = |name: &&Rc<str>| **name != local.member.id.name;
        let mut bootstrap = Bootstrap {
            cluster_name: cluster_name.into(),
            others: names.iter().filter(is_other).cloned().collect(),
            local,
            state,
            last_messages: BTreeMap::new(),
            error: None,
            actions: Vec::new(),
        };
        bootstrap.broadcast();
        bootstrap.advance();
        bootstrap
    }

    /// Returns the progress of this member.
    pub fn state(&self) -> &BootstrapState {
        &self.state
    }

    /// Announces the state again, because messages may be lost.
    pub fn tick(&mut self) {
        self.broadcast();
    }

    /// Handles a message of another member.
    ///
    /// The messages of one incarnation must be passed in order. Those of an earlier incarnation may arrive at
    /// any time and are ignored once a later one was heard from; the incarnations of a name increase with
    /// each start. Messages of members that are not in the file are ignored, except that any member that
    /// knows a cluster is heard, because members may have joined later.
    pub fn receive(&mut self, message: BootstrapMessage) {
        let sender = &message.voter.member.id;
        let name = sender.name.clone();
        let is_stale = |last: &BootstrapMessage| last.voter.member.id.incarnation > sender.incarnation;
        if name == self.local.member.id.name || self.last_messages.get(&name).is_some_and(is_stale) {
            return;
        }
        if let BootstrapState::Bootstrapped(cluster_id) = message.state {
            self.learn_cluster(&name, message.voter.disk_id, cluster_id);
        }
        if self.others.contains(&name) {
            self.last_messages.insert(name, message);
            self.advance();
        }
    }

    /// Returns the actions since the last call, in the order in which they must be carried out.
    pub fn ready(&mut self) -> Vec<BootstrapAction> {
        std::mem::take(&mut self.actions)
    }

    fn broadcast(&mut self) {
        let message = BootstrapMessage { voter: self.local.clone(), state: self.state.clone() };
        let action = BootstrapAction::Broadcast(message);
        if !self.actions.contains(&action) {
            self.actions.push(action);
        }
    }

    /// Handles the information that the member `name`, with the disk `disk_id`, is in the cluster
    /// `cluster_id`.
    fn learn_cluster(&mut self, name: &Rc<str>, disk_id: u64, cluster_id: u64) {
        match &self.state {
            BootstrapState::Bootstrapped(own) if *own == cluster_id => {}
            BootstrapState::Bootstrapped(_) => {
                self.fail(BootstrapError::OtherCluster { name: name.clone(), cluster_id });
            }
            BootstrapState::Accepted(members) if members.cluster_id(&self.cluster_name) == cluster_id => {
                self.start_cluster(members.clone());
            }
            // One of the accepted members is in another cluster with the same disk: this set can no longer be
            // chosen.
            BootstrapState::Accepted(members) if members.contains(name, disk_id) => self.join(cluster_id),
            // The sender has a new disk, which is not in the accepted set: wait for the members of the set.
            BootstrapState::Accepted(_) => {}
            BootstrapState::Empty => self.join(cluster_id),
        }
    }

    fn join(&mut self, cluster_id: u64) {
        self.state = BootstrapState::Bootstrapped(cluster_id);
        self.actions.push(BootstrapAction::Join { cluster_id });
        self.broadcast();
    }

    fn start_cluster(&mut self, members: InitialMembers) {
        let cluster_id = members.cluster_id(&self.cluster_name);
        self.state = BootstrapState::Bootstrapped(cluster_id);
        self.actions.push(BootstrapAction::Bootstrapped { cluster_id, members });
        self.broadcast();
    }

    fn fail(&mut self, error: BootstrapError) {
        if self.error.as_ref() != Some(&error) {
            self.actions.push(BootstrapAction::Failed(error.clone()));
            self.error = Some(error);
        }
    }

    /// Accepts the visible members, and starts the cluster once all of them have accepted the same set.
    fn advance(&mut self) {
        if matches!(self.state, BootstrapState::Bootstrapped(_)) {
            return;
        }
        let Some(visible) = self.visible_members() else { return };
        if let Err(error) = self.accept(&visible) {
            return self.fail(error);
        }
        let accepted = BootstrapState::Accepted(visible.clone());
        let has_accepted = |name| self.last_message(name).is_some_and(|message| message.state == accepted);
        if self.others.iter().all(has_accepted) {
            self.start_cluster(visible);
        }
    }

    /// Returns the members as they announced themselves; `None` until all were heard from, or while one knows
    /// a cluster.
    fn visible_members(&self) -> Option<InitialMembers> {
        let mut voters = Vec::with_capacity(self.others.len() + 1);
        for name in &self.others {
            let message = self.last_message(name)?;
            if matches!(message.state, BootstrapState::Bootstrapped(_)) {
                return None;
            }
            voters.push(message.voter.clone());
        }
        voters.push(self.local.clone());
        Some(InitialMembers::new(voters))
    }

    fn last_message(&self, name: &Rc<str>) -> Option<&BootstrapMessage> {
        self.last_messages.get(name)
    }

    /// Accepts `visible`, replacing any set accepted before.
    ///
    /// # Errors
    /// Returns [`BootstrapError::MajorityLost`] if the earlier set may have proceeded without this member.
    fn accept(&mut self, visible: &InitialMembers) -> Result<(), BootstrapError> {
        if let BootstrapState::Accepted(earlier) = &self.state {
            if earlier == visible {
                return Ok(());
            }
            let lost = earlier.names_missing_from(visible);
            let total = earlier.voters().len();
            if 2 * (total - lost.len()) <= total {
                return Err(BootstrapError::MajorityLost(lost));
            }
        }
        self.state = BootstrapState::Accepted(visible.clone());
        self.actions.push(BootstrapAction::PersistAccepted(visible.clone()));
        self.broadcast();
        Ok(())
    }
}
