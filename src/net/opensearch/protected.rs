//! Searches that survive the failure of their coordinator: they are submitted to the cluster under the ids
//! of their clients, and executed by this member if the cluster assigns them to it.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use slog::warn;

use super::outcome::{self, SearchText};
use super::search::{error, ClusterAccess, PreparedSearch, QueryApiServer};
use super::servers::SearchProgress;
use crate::balancer::interface::ShardId;
use crate::cluster::takeover::{ClientReply, ExecutionKey, Part, Record, SubmitRequest};
use crate::coordinator::{AttemptGate, PendingGrant, PriorProgress, ScoredValue, TakeoverProtection};
use crate::net::buffer::Buffer;
use crate::net::cluster::{ClusterNode, ExecutionHandle, WorkExecutor};
use crate::net::http::{Message, Response};
use crate::net::timeout_at;

/// Longest id of a protected search, in bytes.
const MAX_ID_BYTES: usize = 128;
/// The cluster ends each submission at the deadline of its client. This additional time bounds the wait of a
/// connection whose submission is never ended.
const SUBMIT_GRACE: Duration = Duration::from_secs(1);

impl QueryApiServer {
    /// Joins the cluster: from here on, searches of its protected classes are submitted to it, and this
    /// member executes those that the cluster assigns to it. Calls after the first one have no effect.
    pub fn join_cluster(self: &Rc<Self>, cluster: Rc<ClusterNode>, executor: &Rc<LocalExecutor<'static>>) {
        let executor = executor.clone();
        if self.cluster_access.set(ClusterAccess { cluster: cluster.clone(), executor }).is_ok() {
            cluster.set_executor(self.clone());
        }
    }

    /// Returns the submission for a search that the cluster protects, or `None` if it does not protect this
    /// search.
    pub(super) fn protected_submission(
        &self,
        message: &Message,
        buffer: &Buffer,
        prepared: &PreparedSearch,
    ) -> Option<(Rc<ClusterNode>, SubmitRequest)> {
        let cluster = &self.cluster_access.get()?.cluster;
        let class = prepared.query.class.0;
        if !cluster.is_protected(class) {
            return None;
        }
        let id = message.unique_header(buffer, "X-Opaque-Id").ok()??;
        if !(1..=MAX_ID_BYTES).contains(&id.len()) || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return None;
        }
        let (target, body) = (message.text(buffer, &message.path), message.body(buffer));
        let remaining = prepared.deadline.saturating_duration_since(Instant::now()).as_millis();
        let deadline_unix_ms = cluster.unix_ms().saturating_add(u64::try_from(remaining).unwrap_or(u64::MAX));
        let payload = SearchText { target: &SearchText::without_timeout(target), body }.encode().into();
        let parts = prepared.parts.iter().map(|s| s.0).collect();
        Some((
            cluster.clone(),
            SubmitRequest { id: id.into(), class, payload, deadline_unix_ms, shards: parts },
        ))
    }

    /// Submits a search and returns the response. Returns `None` if the search is to be executed here
    /// without protection.
    pub(super) async fn submit(
        &self,
        cluster: &ClusterNode,
        request: SubmitRequest,
        deadline: Instant,
    ) -> Option<Response> {
        let submit_deadline = deadline.checked_add(SUBMIT_GRACE).unwrap_or(deadline);
        let reply = timeout_at(submit_deadline, cluster.submit(request))
            .await
            .unwrap_or(ClientReply::DeadlineExceeded);
        Some(match reply {
            ClientReply::Outcome(bytes) => match outcome::decode(&bytes) {
                Ok(answer) => answer,
                Err(e) => {
                    self.log_corrupt("corrupt outcome of a protected search", &e);
                    error(500, "outcome_exception", "the stored outcome is corrupt")
                }
            },
            ClientReply::IdConflict => error(
                409,
                "id_conflict_exception",
                "the id belongs to a different search that is still running",
            ),
            ClientReply::Rejected { retry_after_s } => Response {
                retry_after: Some(retry_after_s),
                ..error(429, "rejected_execution_exception", "the cluster cannot accept the search now")
            },
            ClientReply::DeadlineExceeded => error(504, "timeout_exception", "the search ran out of time"),
            ClientReply::Unprotected => return None,
        })
    }

    /// Executes a recorded search and reports its outcome, for as long as this member holds the execution.
    async fn execute(
        self: Rc<Self>,
        record: Rc<Record>,
        takeover: bool,
        client_deadline: Instant,
        execution: ExecutionHandle,
    ) {
        let stopped = async {
            execution.stopped().await;
            None
        };
        // If the execution is lost, dropping the search cancels it at once: nothing more is sent and no
        // answer is reported.
        let answered =
            async { Some(self.run_recorded_search(&record, takeover, client_deadline, &execution).await) };
        if let Some(answer) = stopped.or(answered).await {
            execution.finish(outcome::encode(&answer).into());
        }
    }

    /// Executes a recorded search and returns its response.
    ///
    /// Invariant: a search is rejected only if no attempt of any owner can have run, because its client takes
    /// a rejection as proof of that. A search that may have run waits for capacity instead, up to its
    /// deadline.
    async fn run_recorded_search(
        &self,
        record: &Record,
        takeover: bool,
        client_deadline: Instant,
        execution: &ExecutionHandle,
    ) -> Response {
        let text = match SearchText::decode(&record.payload) {
            Ok(text) => text,
            Err(e) => {
                self.log_corrupt("corrupt request of a protected search", &e);
                return error(500, "text_exception", "the stored request is corrupt");
            }
        };
        let mut prepared = match self.prepare(text.target, text.body, &record.id, Instant::now()) {
            Ok(prepared) => prepared,
            Err(answer) => return answer,
        };
        // The record has the deadline of the client, from which the time of the first request is derived.
        prepared.started_at = client_deadline
            .checked_sub(prepared.deadline - prepared.started_at)
            .unwrap_or(prepared.started_at);
        prepared.deadline = client_deadline;
        prepared.query.deadline = client_deadline;
        let prior_progress = if takeover { prior_progress(&record.parts) } else { BTreeMap::new() };
        // Attempts that a previous owner may have sent count as started.
        let may_have_run = prior_progress.values().any(|e| e.granted_attempts > e.never_ran_attempts);
        prepared.progress.borrow_mut().started = may_have_run;
        let gate = Rc::new(ClusterGate { execution: execution.clone(), progress: prepared.progress.clone() });
        prepared.query.protection = Some(TakeoverProtection { gate, prior_progress });
        let PreparedSearch { search, progress, parts, started_at, deadline, query } = prepared;
        if may_have_run && timeout_at(deadline, self.coordinator.until_not_full()).await.is_none() {
            return error(504, "timeout_exception", "the search ran out of time");
        }
        match self.coordinator.submit(query) {
            None => self.rejected_response("too many searches are open"),
            Some(handle) => {
                let outcome = handle.outcome().await;
                self.response(&search, &outcome, &progress.borrow(), &parts, started_at, deadline)
            }
        }
    }

    fn log_corrupt(&self, what: &'static str, error: &outcome::CorruptRecord) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "{}", what; "error" => %error, "suppressed" => suppressed);
        }
    }
}

impl WorkExecutor for QueryApiServer {
    fn start(
        self: Rc<Self>,
        _: ExecutionKey,
        record: Rc<Record>,
        takeover: bool,
        execution: ExecutionHandle,
    ) {
        let Some(ClusterAccess { cluster, executor }) = self.cluster_access.get() else { return };
        let remaining = Duration::from_millis(record.deadline_unix_ms.saturating_sub(cluster.unix_ms()));
        let now = Instant::now();
        let client_deadline = now.checked_add(remaining).unwrap_or(now);
        executor.spawn(self.clone().execute(record, takeover, client_deadline, execution)).detach();
    }
}

/// Returns the progress recorded by a previous owner, in the coordinator's terms.
fn prior_progress(parts: &[Part]) -> BTreeMap<(u8, ShardId), PriorProgress> {
    // No part may have more attempts than a byte can hold.
    let saturating_byte = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    let part = |p: &Part| {
        let value = p.value.as_ref().map(|v| ScoredValue { value: Rc::from(&v[..]), score: p.score });
        let prior_progress = PriorProgress {
            granted_attempts: saturating_byte(p.granted),
            never_ran_attempts: saturating_byte(p.cleared),
            value,
        };
        ((saturating_byte(p.step), ShardId(p.shard)), prior_progress)
    };
    parts.iter().map(part).collect()
}

/// Grants and records the attempts of a protected search through the cluster.
struct ClusterGate {
    execution: ExecutionHandle,
    progress: Rc<RefCell<SearchProgress>>,
}

impl AttemptGate for ClusterGate {
    fn request_grant(&self, step: u8, shard: ShardId, attempt: u8) -> PendingGrant {
        let execution = self.execution.clone();
        Box::pin(async move { execution.may_send(step, shard.0, attempt).await })
    }

    fn is_owned(&self) -> bool {
        self.execution.holds_lease()
    }

    fn record_never_ran(&self, step: u8, shard: ShardId) {
        self.execution.record_cleared(step, shard.0);
    }

    fn record_value(&self, step: u8, shard: ShardId, value: &ScoredValue) {
        self.execution.record_value(step, shard.0, value.value.clone(), value.score);
    }

    /// Recorded here as well, since the result of a second step may already be known, without any call of
    /// that step.
    fn record_first_step(&self, from: &Rc<[ShardId]>) {
        self.progress.borrow_mut().first_step_shards = Some(from.clone());
    }
}
