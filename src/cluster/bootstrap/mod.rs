//! Bootstrap: which members are the first ones? For a cluster with a log [`Bootstrap`] decides that, for one
//! without [`first_configuration`].
//!
//! [`Bootstrap`] owns a member's progress from an empty disk to the id of its cluster: those of the
//! operator's file are the initial members, once all of them were heard and none knows a cluster yet. It is a
//! state machine without I/O, clock or randomness, and never writes or sends by itself: messages and ticks
//! come in, [`BootstrapAction`]s go out.
//!
//! Each member accepts the set of names, incarnations and disks that it sees, durably, before it announces
//! that. A set is chosen when all of its members have announced that they accepted it.
//!
//! Invariant: no two clusters of one file can both commit anything. A set is chosen only by every member of
//! it, so that two chosen sets were both accepted by each member whose disk is in both. An accepted set gives
//! way to another only while no majority of the earlier set can have gone on: this member, and others that
//! with it are a majority of the disks of the earlier set, announce with the same disks that they know no
//! cluster; and each that has accepted the later set refuses the earlier one from then on. It goes back only
//! when a member of the later set announces that it is in another cluster: then the later set can't be chosen
//! any more. Where most disks of an accepted set are gone nothing is decided here: the operator has to.
//! `docs/design-log.md` gives the argument.
#![warn(missing_docs)]

pub mod first_configuration;
mod members;
mod message;

use std::collections::BTreeMap;
use std::rc::Rc;

pub use self::members::InitialMembers;
pub use self::message::BootstrapMessage;
use super::consensus_log::Voter;

/// How far a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    /// It has accepted nothing.
    Empty,
    /// It has accepted these initial members, and does not know whether all of them have.
    Accepted(InitialMembers),
    /// It knows the id of its cluster: it is an initial member of it, or joined it later.
    Bootstrapped(u64),
}

/// One action of [`Bootstrap::ready`]. Actions are carried out in the order of that list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapAction {
    /// Make the accepted members durable before the next action is started.
    PersistAccepted(InitialMembers),
    /// Send this to every member of the file. It is repeated at each tick.
    Broadcast(BootstrapMessage),
    /// All have accepted the members: start the log with [`super::consensus_log::StoredLog::bootstrap`],
    /// durably before the next action.
    Bootstrapped {
        /// The id of the new cluster.
        cluster_id: u64,
        /// Its initial members.
        members: InitialMembers,
    },
    /// A cluster exists without this incarnation: start the log with
    /// [`super::consensus_log::StoredLog::joining`], durably before the next action, and ask to be admitted.
    Join {
        /// The id of that cluster.
        cluster_id: u64,
    },
    /// Nothing more happens here until the operator acts. Comes once for each reason.
    Failed(BootstrapError),
}

/// Why a member can't be bootstrapped without the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BootstrapError {
    /// Most disks of the accepted set were replaced, those of these names: it may have gone on without this
    /// member.
    #[error(
        "bootstrap was interrupted: most of its disks are gone ({}); remove the stores of the others to bootstrap anew",
        .0.join(", ")
    )]
    MajorityLost(Vec<Rc<str>>),
    /// A member of the file is in a cluster that this one is not in.
    #[error("'{name}' is of another cluster, {cluster_id:x}")]
    OtherCluster {
        /// That member.
        name: Rc<str>,
        /// That cluster.
        cluster_id: u64,
    },
}

/// The bootstrap of one member.
pub struct Bootstrap {
    cluster_name: Rc<str>,
    /// The other names of the operator's file.
    others: Vec<Rc<str>>,
    local: Voter,
    state: BootstrapState,
    /// The last message of each other member of the file.
    last_messages: BTreeMap<Rc<str>, BootstrapMessage>,
    error: Option<BootstrapError>,
    actions: Vec<BootstrapAction>,
}

impl Bootstrap {
    /// Goes on from `state`, which is what the local disk holds. `names` are those of the operator's file,
    /// the local one among them.
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

    /// How far this member is.
    pub fn state(&self) -> &BootstrapState {
        &self.state
    }

    /// Announces the state again: messages get lost.
    pub fn tick(&mut self) {
        self.broadcast();
    }

    /// Handles a message of another member.
    ///
    /// The messages of one incarnation have to come in order; those of an earlier one may come at any time,
    /// and are ignored once a later one was heard. The incarnations of a name rise with each start. Members
    /// that are not in the file take no part, but one that knows a cluster is heard whoever it is, for
    /// members join later.
    pub fn receive(&mut self, message: BootstrapMessage) {
        let sender = &message.voter.member.id;
        let name = sender.name.clone();
        let is_overtaken = |last: &BootstrapMessage| last.voter.member.id.incarnation > sender.incarnation;
        if name == self.local.member.id.name || self.last_messages.get(&name).is_some_and(is_overtaken) {
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

    /// The actions since the last call, in the order in which they have to be done.
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

    /// The member `name`, on the disk `disk_id`, is in the cluster `cluster_id`.
    fn learn_cluster(&mut self, name: &Rc<str>, disk_id: u64, cluster_id: u64) {
        match &self.state {
            BootstrapState::Bootstrapped(own) if *own == cluster_id => {}
            BootstrapState::Bootstrapped(_) => {
                self.fail(BootstrapError::OtherCluster { name: name.clone(), cluster_id });
            }
            BootstrapState::Accepted(members) if members.cluster_id(&self.cluster_name) == cluster_id => {
                self.start_cluster(members.clone());
            }
            // One of the accepted members is in another cluster, on its disk: this set can't be chosen any
            // more.
            BootstrapState::Accepted(members) if members.contains(name, disk_id) => self.join(cluster_id),
            // The sender has a new disk, which is not in the accepted set: the members of the set are asked.
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

    /// Accepts the members that are seen, and starts the cluster once all of them have accepted the same.
    fn advance(&mut self) {
        if matches!(self.state, BootstrapState::Bootstrapped(_)) {
            return;
        }
        let Some(seen) = self.visible_members() else { return };
        if let Err(error) = self.accept(&seen) {
            return self.fail(error);
        }
        let accepted = BootstrapState::Accepted(seen.clone());
        let has_accepted = |name| self.last_message(name).is_some_and(|message| message.state == accepted);
        if self.others.iter().all(has_accepted) {
            self.start_cluster(seen);
        }
    }

    /// The members as they announced themselves; none before all were heard, or while one knows a cluster.
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

    /// Accepts `seen` in place of what was accepted before.
    ///
    /// # Errors
    /// [`BootstrapError::MajorityLost`] where the earlier set may have gone on without this member.
    fn accept(&mut self, seen: &InitialMembers) -> Result<(), BootstrapError> {
        if let BootstrapState::Accepted(earlier) = &self.state {
            if earlier == seen {
                return Ok(());
            }
            let lost = earlier.names_missing_from(seen);
            let total = earlier.voters().len();
            if 2 * (total - lost.len()) <= total {
                return Err(BootstrapError::MajorityLost(lost));
            }
        }
        self.state = BootstrapState::Accepted(seen.clone());
        self.actions.push(BootstrapAction::PersistAccepted(seen.clone()));
        self.broadcast();
        Ok(())
    }
}
