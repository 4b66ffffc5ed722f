//! What is agreed on takes effect: the roster, and the voters that it names.
use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType};

use super::super::command;
use super::super::membership::{CommandOutcome, Membership, RejectionReason};
use super::{ConsensusLog, LogAction};

impl ConsensusLog {
    pub(super) fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.stopped.is_some() {
                return;
            }
            self.apply_one(&entry);
            self.applied = entry.index;
        }
    }

    fn apply_one(&mut self, entry: &Entry) {
        let change = match entry.get_entry_type() {
            EntryType::EntryNormal => None,
            _ => match ConfChangeV2::parse_from_bytes(&entry.data) {
                Ok(change) => Some(change),
                Err(_) => return,
            },
        };
        let data: &[u8] = change.as_ref().map_or(&entry.data, |c| c.get_context());
        if data.is_empty() {
            // A new leader's first entry; or the second half of a change, which the crate proposes by itself.
            if let Some(change) = change.filter(|c| c.get_changes().is_empty()) {
                if !self.node.store().conf.get_voters_outgoing().is_empty() {
                    self.change_voters(&change);
                }
            }
            return;
        }
        // Every member reads the same bytes: what one can't read none can.
        let Ok((proposal, command)) = command::decode(data) else { return };
        let (mut outcome, next) = self.roster.evaluate(entry.index, &command);
        if let Some(next) = next {
            // Worked out by the leader when it proposed: another entry may have come between.
            let wanted = changes(&self.roster, &next);
            let given = change.as_ref().map_or(&[][..], |c| c.get_changes());
            if wanted != given {
                outcome = CommandOutcome::Rejected(RejectionReason::StaleEpoch(entry.index));
            } else {
                if let Some(change) = change {
                    self.change_voters(&change);
                    // Whoever is new can't use a snapshot that does not name it.
                    self.wants = true;
                }
                self.roster = next;
                self.name_voters();
            }
        }
        self.acts.push(LogAction::Applied { index: entry.index, proposal, command, outcome });
    }

    fn change_voters(&mut self, change: &ConfChangeV2) {
        match self.node.apply_conf_change(change) {
            Ok(conf) => self.node.mut_store().conf = conf,
            Err(e) => self.stop(&format!("a change of voters: {e}")),
        }
    }
}

/// What makes the voters of one roster those of the next, in the order of their numbers.
pub(super) fn changes(old: &Membership, new: &Membership) -> Vec<ConfChangeSingle> {
    let roles = |roster: &Membership| -> BTreeMap<u64, ConfChangeType> {
        let (voters, learners) = roster.raft_ids();
        let voters = voters.into_iter().map(|id| (id, ConfChangeType::AddNode));
        voters.chain(learners.into_iter().map(|id| (id, ConfChangeType::AddLearnerNode))).collect()
    };
    let (old, new) = (roles(old), roles(new));
    let added = new.iter().filter(|(id, role)| old.get(id) != Some(role)).map(|(id, role)| (*id, *role));
    let gone = old.keys().filter(|id| !new.contains_key(id)).map(|id| (*id, ConfChangeType::RemoveNode));
    let single = |(id, kind)| {
        let mut change = ConfChangeSingle { node_id: id, ..ConfChangeSingle::default() };
        change.set_change_type(kind);
        change
    };
    added.chain(gone).map(single).collect()
}
