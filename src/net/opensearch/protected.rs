//! Searches that outlive their coordinator: asked of the fleet under their clients' ids, and executed here where the
//! fleet says so.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use slog::warn;

use super::outcome::{self, Text};
use super::search::{error, Front, Joined, Ready};
use super::servers::Notes;
use crate::balancer::interface::ShardId;
use crate::cluster::takeover::{ClientReply, ExecutionKey, Part, Record, SubmitRequest};
use crate::coordinator::{AttemptGate, PendingGrant, PriorProgress, TakeoverProtection, Value};
use crate::net::buffer::Buffer;
use crate::net::cluster::{ClusterNode, ExecutionHandle, WorkExecutor};
use crate::net::http::{Answer, Message};
use crate::net::timeout_at;

/// The longest id that a search can be asked for under, in bytes.
const MOST_ID: usize = 128;
/// The fleet ends each ask at its client's end. Guards the connection against one that it forgets.
const FORGOTTEN: Duration = Duration::from_secs(1);

impl Front {
    /// Ask the fleet for the searches of its protected classes from here on, and execute those that fall to this
    /// member. The first fleet stays.
    pub fn join(self: &Rc<Self>, fleet: Rc<ClusterNode>, executor: &Rc<LocalExecutor<'static>>) {
        let executor = executor.clone();
        if self.joined.set(Joined { fleet: fleet.clone(), executor }).is_ok() {
            fleet.set_executor(self.clone());
        }
    }

    /// What to ask the fleet for, if this search is one that it protects.
    pub(super) fn protected(
        &self,
        message: &Message,
        buffer: &Buffer,
        ready: &Ready,
    ) -> Option<(Rc<ClusterNode>, SubmitRequest)> {
        let fleet = &self.joined.get()?.fleet;
        let class = ready.query.class.0;
        let Some(Ok(id)) = message.only(buffer, "X-Opaque-Id").filter(|_| fleet.is_protected(class)) else {
            return None;
        };
        if !(1..=MOST_ID).contains(&id.len()) || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return None;
        }
        let (target, body) = (message.text(buffer, &message.path), message.body(buffer));
        let left = ready.deadline.saturating_duration_since(Instant::now()).as_millis();
        let deadline_unix_ms = fleet.unix_ms().saturating_add(u64::try_from(left).unwrap_or(u64::MAX));
        let payload = Text { target: &Text::untimed(target), body: &body }.encode().into();
        let shards = ready.parts.iter().map(|s| s.0).collect();
        Some((fleet.clone(), SubmitRequest { id: id.into(), class, payload, deadline_unix_ms, shards }))
    }

    /// The fleet's answer to a search. `None`: it is to be run here, without protection.
    pub(super) async fn asked(
        &self,
        fleet: &ClusterNode,
        request: SubmitRequest,
        deadline: Instant,
    ) -> Option<Answer> {
        let latest = deadline.checked_add(FORGOTTEN).unwrap_or(deadline);
        let reply = timeout_at(latest, fleet.submit(request)).await.unwrap_or(ClientReply::DeadlineExceeded);
        Some(match reply {
            ClientReply::Outcome(bytes) => match outcome::decode(&bytes) {
                Ok(answer) => answer,
                Err(e) => {
                    self.spoilt("spoilt outcome of a protected search", &e);
                    error(500, "outcome_exception", "the outcome cannot be read")
                }
            },
            ClientReply::IdConflict => {
                error(409, "id_conflict_exception", "the id is that of another search that is not over yet")
            }
            ClientReply::Rejected { retry_after_s } => Answer {
                retry_after: Some(retry_after_s),
                ..error(429, "rejected_execution_exception", "the fleet cannot take the search now")
            },
            ClientReply::DeadlineExceeded => error(504, "timeout_exception", "the search ran out of time"),
            ClientReply::Unprotected => return None,
        })
    }

    /// From the record to its outcome, for as long as the hold on it lasts.
    async fn execute(
        self: Rc<Self>,
        record: Rc<Record>,
        takeover: bool,
        ends: Instant,
        hold: ExecutionHandle,
    ) {
        let lost = async {
            hold.stopped().await;
            None
        };
        // Dropping what was taken calls off all of it in the same breath: nothing more is sent, nothing answered.
        let answered = async { Some(self.executed(&record, takeover, ends, &hold).await) };
        if let Some(answer) = lost.or(answered).await {
            hold.finish(outcome::encode(&answer).into());
        }
    }

    async fn executed(
        &self,
        record: &Record,
        takeover: bool,
        ends: Instant,
        hold: &ExecutionHandle,
    ) -> Answer {
        let text = match Text::decode(&record.payload) {
            Ok(text) => text,
            Err(e) => {
                self.spoilt("spoilt text of a protected search", &e);
                return error(500, "text_exception", "the text of the search cannot be read");
            }
        };
        let mut ready = match self.understand(text.target, text.body, &record.id, Instant::now()) {
            Ok(ready) => ready,
            Err(answer) => return answer,
        };
        // The client's end is the record's; by that, when it asked first.
        ready.begun = ends.checked_sub(ready.deadline - ready.begun).unwrap_or(ready.begun);
        (ready.deadline, ready.query.deadline) = (ends, ends);
        let earlier = if takeover { earlier(&record.parts) } else { BTreeMap::new() };
        // What an earlier owner may have sent has begun.
        ready.notes.borrow_mut().begun = earlier.values().any(|e| e.granted > e.cleared);
        let gate = Rc::new(Held { hold: hold.clone(), notes: ready.notes.clone() });
        ready.query.protection = Some(TakeoverProtection { gate, earlier });
        let Ready { search, notes, parts, begun, deadline, query } = ready;
        match self.coordinator.take(query) {
            None => self.refused("too many searches are open"),
            Some(taken) => {
                let outcome = taken.outcome().await;
                self.ended(&search, &outcome, &notes.borrow(), &parts, begun, deadline)
            }
        }
    }

    fn spoilt(&self, what: &'static str, error: &outcome::Spoilt) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "{}", what; "error" => %error, "suppressed" => suppressed);
        }
    }
}

impl WorkExecutor for Front {
    fn start(self: Rc<Self>, _: ExecutionKey, record: Rc<Record>, takeover: bool, hold: ExecutionHandle) {
        let Some(Joined { fleet, executor }) = self.joined.get() else { return };
        let left = Duration::from_millis(record.deadline_unix_ms.saturating_sub(fleet.unix_ms()));
        let now = Instant::now();
        let ends = now.checked_add(left).unwrap_or(now);
        executor.spawn(self.clone().execute(record, takeover, ends, hold)).detach();
    }
}

/// What an earlier owner left, as the core counts it.
fn earlier(parts: &[Part]) -> BTreeMap<(u8, ShardId), PriorProgress> {
    // More than a byte holds is more than any part may be tried.
    let byte = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    let part = |p: &Part| {
        let value = p.value.as_ref().map(|v| (Rc::from(&v[..]), p.score));
        let earlier = PriorProgress { granted: byte(p.granted), cleared: byte(p.cleared), value };
        ((byte(p.step), ShardId(p.shard)), earlier)
    };
    parts.iter().map(part).collect()
}

/// The fleet's hold on a search, as the core asks for it.
struct Held {
    hold: ExecutionHandle,
    notes: Rc<RefCell<Notes>>,
}

impl AttemptGate for Held {
    fn may_send(&self, step: u8, shard: ShardId, attempt: u8) -> PendingGrant {
        let hold = self.hold.clone();
        Box::pin(async move { hold.may_send(step, shard.0, attempt).await })
    }

    fn holds(&self) -> bool {
        self.hold.holds_lease()
    }

    fn cleared(&self, step: u8, shard: ShardId) {
        self.hold.record_cleared(step, shard.0);
    }

    fn value(&self, step: u8, shard: ShardId, value: &Value, score: f64) {
        self.hold.record_value(step, shard.0, value.clone(), score);
    }

    /// Told here too: a second step may be in without any call of it.
    fn stepped(&self, from: &Rc<[ShardId]>) {
        self.notes.borrow_mut().first = Some(from.clone());
    }
}
