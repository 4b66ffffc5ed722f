//! Application of committed entries to the membership and to Raft's voter configuration.
use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType};

use super::super::codec;
use super::super::membership::{CommandOutcome, Membership, RejectionReason};
use super::{ConsensusLog, LogAction};

impl ConsensusLog {
    pub(super) fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.stop_reason.is_some() {
                return;
            }
            self.apply_entry(&entry);
            self.applied = entry.index;
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let change = match entry.get_entry_type() {
            EntryType::EntryNormal => None,
            _ => match ConfChangeV2::parse_from_bytes(&entry.data) {
                Ok(change) => Some(change),
                Err(_) => return,
            },
        };
        let data: &[u8] = change.as_ref().map_or(&entry.data, |change| change.get_context());
        if data.is_empty() {
            return self.leave_joint_config(change);
        }
        // All members decode the same bytes, so an entry that one member cannot decode is skipped by all.
        let Ok((proposal, command)) = codec::decode_command(data) else { return };
        let (mut outcome, next) = self.membership.evaluate(entry.index, &command);
        if let Some(next) = next {
            // The leader computed the change when it proposed the entry; another entry may have been
            // committed in between.
            let expected = conf_changes(&self.membership, &next);
            let proposed = change.as_ref().map_or(&[][..], |change| change.get_changes());
            if expected == proposed {
                self.set_membership(next, change);
            } else {
                outcome = CommandOutcome::Rejected(RejectionReason::StaleEpoch(entry.index));
            }
        }
        self.actions.push(LogAction::Applied { index: entry.index, proposal, command, outcome });
    }

    /// Handles an entry without a command: either a new leader's first entry, or the crate's own proposal to
    /// leave a joint configuration.
    fn leave_joint_config(&mut self, change: Option<ConfChangeV2>) {
        let Some(change) = change.filter(|change| change.get_changes().is_empty()) else { return };
        if !self.node.store().conf_state.get_voters_outgoing().is_empty() {
            self.change_voters(&change);
        }
    }

    fn set_membership(&mut self, membership: Membership, change: Option<ConfChangeV2>) {
        if let Some(change) = change {
            self.change_voters(&change);
            // A new voter cannot use an older snapshot, whose voter configuration does not contain it.
            self.compaction_due = true;
        }
        self.membership = membership;
        self.update_names();
    }

    fn change_voters(&mut self, change: &ConfChangeV2) {
        match self.node.apply_conf_change(change) {
            Ok(conf_state) => self.node.mut_store().conf_state = conf_state,
            Err(e) => self.stop(&format!("cannot apply voter change: {e}")),
        }
    }
}

/// Returns the changes from the voters and learners of `old` to those of `new`, sorted by id.
pub(super) fn conf_changes(old: &Membership, new: &Membership) -> Vec<ConfChangeSingle> {
    let old = roles(old);
    let new = roles(new);
    let added = new.iter().filter(|(id, role)| old.get(id) != Some(role)).map(|(id, role)| (*id, *role));
    let removed = old.keys().filter(|id| !new.contains_key(id));
    let removed = removed.map(|id| (*id, ConfChangeType::RemoveNode));
    added.chain(removed).map(|(id, kind)| conf_change(id, kind)).collect()
}

fn roles(membership: &Membership) -> BTreeMap<u64, ConfChangeType> {
    let ids = membership.raft_ids();
    let voters = ids.voters.into_iter().map(|id| (id, ConfChangeType::AddNode));
    let learners = ids.learners.into_iter().map(|id| (id, ConfChangeType::AddLearnerNode));
    voters.chain(learners).collect()
}

fn conf_change(voter_id: u64, kind: ConfChangeType) -> ConfChangeSingle {
    let mut change = ConfChangeSingle { node_id: voter_id, ..ConfChangeSingle::default() };
    change.set_change_type(kind);
    change
}
