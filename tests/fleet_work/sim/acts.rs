//! What a member's machine wants done: messages on the links, and an executor whose parts run, fail or are lost.
use std::rc::Rc;

use marlgap::cluster::takeover::message::Body;
use marlgap::cluster::takeover::{Action, ExecutionKey, Message, Part, SendDecision};
use marlgap::cluster::MemberId;
use rand_core::RngCore;

use super::{Event, How, Run, World, MS};

impl World {
    /// Does what a member's machine wants done, and what its executor makes of that.
    pub(super) fn act(&mut self, n: usize) {
        loop {
            let acts = self.nodes[n].works.take_actions();
            if acts.is_empty() {
                break;
            }
            for act in acts {
                match act {
                    Action::Send { to, message } => self.post(n, to, message),
                    Action::Start { key, record, takeover } => {
                        self.begun(n, &record.id);
                        let next = |p: &Part| {
                            let first = if takeover { p.granted as u8 } else { 0 };
                            (p.shard, p.value.is_none().then_some(first))
                        };
                        let run = Run {
                            next: record.parts.iter().map(next).collect(),
                            record,
                            values: 0,
                            done: false,
                        };
                        let shards: Vec<u32> = run.next.keys().copied().collect();
                        self.nodes[n].runs.insert(key, run);
                        shards.into_iter().for_each(|s| self.attempt(n, key, s));
                        self.finish(n, key);
                    }
                    Action::Granted { key, shard, .. } => {
                        self.attempt(n, key, shard);
                        self.finish(n, key);
                    }
                    Action::Stop { key } => {
                        self.nodes[n].runs.remove(&key);
                    }
                    Action::Answer { token, reply } => {
                        let client = token as usize;
                        self.answered(client, &reply);
                        self.clients[client].replies.push(reply);
                    }
                }
            }
        }
        if let Some(due) = self.nodes[n].works.next_due() {
            let after = (due.saturating_sub(self.clock(n)) as f64 / self.nodes[n].rate).ceil() as u64 + 1;
            if self.nodes[n].wakes.is_none_or(|at| at > self.now + after) {
                self.nodes[n].wakes = Some(self.now + after);
                self.later(after, Event::Wake(n));
            }
        }
    }

    fn post(&mut self, n: usize, to: MemberId, message: Message) {
        self.messages += 1;
        if let Some(Body::Decided(d)) = &message.body {
            self.told(n, d.epoch, &d.id);
        }
        let Some(at) = self.nodes.iter().position(|m| m.id.name == to.name) else { return };
        // Connections go to a name; who is another life by now gets it too, unless it is known by its hello.
        if self.cut[n][at]
            || self.checks.incarnation && self.nodes[at].id != to
            || self.chance(self.plan.loss)
        {
            return;
        }
        let (from, message) = (self.nodes[n].id.clone(), Rc::new(message));
        for _ in 0..1 + u64::from(self.chance(20)) {
            let slow = self.chance(self.plan.slow);
            let delay = 100 + self.below(if slow { 700 * MS } else { 2 * MS });
            self.later(delay, Event::Deliver(at, from.clone(), Rc::clone(&message)));
        }
    }

    fn attempt(&mut self, n: usize, key: ExecutionKey, shard: u32) {
        let now = self.clock(n);
        let Some(run) = self.nodes[n].runs.get(&key) else { return };
        let Some(Some(attempt)) = run.next.get(&shard).copied() else { return };
        let (record, life) = (Rc::clone(&run.record), self.nodes[n].id.incarnation);
        match self.nodes[n].works.may_send(now, key, 0, shard, attempt) {
            SendDecision::Now => {
                let how = match self.below(if self.plan.plain { 70 } else { 100 }) {
                    0..=69 => How::Value,
                    70..=84 => How::NeverRan,
                    _ => How::Lost,
                };
                self.sent(n, &record, shard, !matches!(how, How::NeverRan));
                // Waiting for the answer: nothing is made twice meanwhile.
                let after = MS + self.below(150 * MS);
                self.later(after, Event::Ran { node: n, life, key, shard, how });
            }
            SendDecision::AwaitGrant => {}
            SendDecision::Never => {
                if let Some(run) = self.nodes[n].runs.get_mut(&key) {
                    run.next.insert(shard, None);
                }
            }
        }
    }

    pub(super) fn ran(&mut self, n: usize, key: ExecutionKey, shard: u32, how: How) {
        let now = self.clock(n);
        let Some(run) = self.nodes[n].runs.get_mut(&key) else { return };
        let Some(next) = run.next.get_mut(&shard) else { return };
        match how {
            How::Value => {
                (*next, run.values) = (None, run.values + 1);
                self.nodes[n].works.record_value(now, key, 0, shard, b"v".as_slice().into(), 1.0);
            }
            How::NeverRan => {
                *next = next.map(|a| a + 1);
                self.nodes[n].works.record_cleared(now, key, 0, shard);
            }
            How::Lost => *next = next.map(|a| a + 1),
        }
        self.attempt(n, key, shard);
        self.finish(n, key);
    }

    fn finish(&mut self, n: usize, key: ExecutionKey) {
        let (now, nonce) = (self.clock(n), self.rng.next_u64());
        let Some(run) = self.nodes[n].runs.get_mut(&key) else { return };
        if !run.done && run.next.values().all(Option::is_none) {
            run.done = true;
            // No two runs end alike, so two outcomes of one id show.
            let outcome = [&run.record.payload[..], b"|", &nonce.to_be_bytes()].concat();
            self.nodes[n].works.finish(now, key, outcome.into());
        }
    }
}
