//! Timers of the work items that this member leads: retransmits unanswered messages, renews leases, and ends
//! work items that are past their deadline or have lost their lease.
use super::leader::{LeaderState, Phase};
use super::message::{Accept, Body, Fence, Prepare, Renew};
use super::{MemberId, TakeoverState, WorkId};

impl TakeoverState {
    /// Sends the messages required by the current phase of a work item to the members that have not answered
    /// yet.
    pub(super) fn retransmit(&mut self, work: &WorkId) {
        let now = self.now;
        let interval = self.retransmit_interval();
        let Some(leader) = self.leaders.get_mut(work) else { return };
        leader.retransmit_at = now.saturating_add(interval);
        let Some(leader) = self.leaders.get(work) else { return };
        let unanswered = match leader.phase {
            Phase::Fencing => self.unanswered_fences(work, leader),
            Phase::Preparing => self.unanswered_prepares(work, leader),
            Phase::Leading => self.unanswered_accepts(work, leader),
        };
        for (to, body) in unanswered {
            self.send(&to, body);
        }
    }

    fn unanswered_fences(&self, work: &WorkId, leader: &LeaderState) -> Vec<(MemberId, Body)> {
        let remaining_us = leader.deadline.saturating_sub(self.now);
        let class = leader.proposal.as_ref().unwrap_or(&leader.record).class;
        let mut messages = Vec::new();
        for group in &leader.previous_groups {
            let unanswered = group.members.iter().zip(&group.votes).filter(|(_, v)| !v.fenced && !v.exists);
            for (member, _) in unanswered {
                let fence = Fence { epoch: group.epoch, id: work.1.to_string(), class, remaining_us };
                messages.push((member.clone(), Body::Fence(fence)));
            }
        }
        messages
    }

    fn unanswered_prepares(&self, work: &WorkId, leader: &LeaderState) -> Vec<(MemberId, Body)> {
        let remaining_us = leader.deadline.saturating_sub(self.now);
        let class = leader.proposal.as_ref().unwrap_or(&leader.record).class;
        let prepare = |member: &MemberId| {
            let (epoch, id) = (work.0, work.1.to_string());
            let prepare = Prepare { epoch, id, ballot: leader.ballot, class, remaining_us };
            (member.clone(), Body::Prepare(prepare))
        };
        let unanswered = leader.group.iter().zip(&leader.votes).filter(|(_, vote)| !vote.promised);
        unanswered.map(|(member, _)| prepare(member)).collect()
    }

    /// Returns accepts for members that lack the last write, or whose acknowledgement is no longer covered by
    /// a lease.
    fn unanswered_accepts(&self, work: &WorkId, leader: &LeaderState) -> Vec<(MemberId, Body)> {
        let now = self.now;
        let mut messages = Vec::new();
        for (rank, (member, vote)) in leader.group.iter().zip(&leader.votes).enumerate() {
            let covered = rank == leader.rank || self.leases.covers(now, member, vote.sent_at);
            if leader.seq > 0 && (vote.seq < leader.seq || !covered) {
                let accept = Accept {
                    epoch: work.0,
                    id: work.1.to_string(),
                    ballot: leader.ballot,
                    seq: leader.seq,
                    sent_us: now,
                    remaining_us: leader.deadline.saturating_sub(now),
                    record: Some(leader.record.clone()),
                };
                messages.push((member.clone(), Body::Accept(accept)));
            }
        }
        messages
    }

    pub(super) fn tick_leaders(&mut self) {
        let now = self.now;
        let due = self.leaders.iter().filter(|(_, leader)| leader.due_at() <= now);
        let due: Vec<WorkId> = due.map(|(work, _)| work.clone()).collect();
        for work in due {
            self.tick_leader(&work);
        }
        self.renew_leases();
    }

    fn tick_leader(&mut self, work: &WorkId) {
        let now = self.now;
        let Some(leader) = self.leaders.get(work) else { return };
        let is_opening = leader.phase != Phase::Leading && !leader.takeover;
        if self.has_lost_lease(leader) || leader.retain_until <= now || is_opening && leader.deadline <= now {
            return self.abandon(work);
        }
        if leader.phase == Phase::Leading && leader.deadline <= now && !leader.record.is_finished() {
            self.fail(work);
        } else if leader.write_by.is_some_and(|at| at <= now) {
            self.unwritten.insert(work.clone());
        } else {
            self.retransmit(work);
        }
        self.advance(work);
    }

    /// Returns whether a leader has lost its lease and cannot regain it by waiting.
    fn has_lost_lease(&self, leader: &LeaderState) -> bool {
        let now = self.now;
        if leader.phase != Phase::Leading || self.leader_holds_lease(leader, now) {
            return false;
        }
        // Another ballot was promised, and no majority keeps the lease of this one.
        let superseded = leader.count(|vote| vote.rejected) > 0;
        // Acknowledgements have ceased. A member whose messages arrive but that receives none must stop
        // sending: otherwise its acceptors keep its lease and no member takes over.
        let timeout = 2 * self.leases.acceptor_duration();
        superseded || now > leader.lease_held_at.saturating_add(timeout)
    }

    /// Sends one renewal to each peer, covering all work items that the peer accepts for this member.
    fn renew_leases(&mut self) {
        let now = self.now;
        if self.renew_at.is_some_and(|at| at > now) {
            return;
        }
        let leading = self.leaders.values().filter(|leader| leader.phase == Phase::Leading);
        let mut peers: Vec<MemberId> = leading.flat_map(|leader| leader.group.iter().cloned()).collect();
        peers.sort();
        peers.dedup();
        peers.retain(|peer| *peer != self.me);
        for peer in &peers {
            self.send(peer, Body::Renew(Renew { sent_us: now }));
        }
        let next = now.saturating_add((self.limits.lease_duration / 3).max(1));
        self.renew_at = (!peers.is_empty()).then_some(next);
    }
}
