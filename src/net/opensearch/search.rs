//! Preparation of a search from its request, and construction of its answer. Used for searches of clients
//! and of the cluster.
use std::borrow::Cow;
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use serde_json::{json, Value};
use slog::{warn, Logger};

use super::merge::{self, MissingShards, ShardError, ShardFailure};
use super::query::{self, InvalidSearch, Search};
use super::servers::{RequestContext, SearchProgress, SearchServers};
use crate::balancer::interface::{ClassId, ShardId, TenantId};
use crate::config::settings::Deployment;
use crate::coordinator::{Coordinator, Query, QueryOutcome};
use crate::net::cluster::ClusterNode;
use crate::net::http::Response;
use crate::net::http_server::GracefulShutdown;
use crate::net::{Excerpt, LogRateLimiter};

/// An answer that arrives this close to the deadline is treated as cut off by it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);

/// The front of the query API.
pub struct QueryApiServer {
    pub coordinator: Rc<Coordinator<SearchServers>>,
    pub deployment: Rc<Deployment>,
    /// Index of each class, in the order of the classes, for those that have one.
    pub indices: Vec<Option<String>>,
    pub shards: u32,
    pub shutdown: Rc<GracefulShutdown>,
    pub log: Logger,
    pub log_limiter: LogRateLimiter,
    /// Access to the cluster, if this process is a member of one.
    pub(super) cluster_access: OnceCell<ClusterAccess>,
}

/// What the front needs in order to use the cluster.
pub(super) struct ClusterAccess {
    pub cluster: Rc<ClusterNode>,
    pub executor: Rc<LocalExecutor<'static>>,
}

/// A parsed search, ready to be submitted to the coordinator.
pub(super) struct PreparedSearch {
    pub search: Rc<Search>,
    pub progress: Rc<RefCell<SearchProgress>>,
    pub parts: Vec<ShardId>,
    pub started_at: Instant,
    pub deadline: Instant,
    pub query: Query<RequestContext>,
}

impl QueryApiServer {
    /// Prepares a search from its request. The result is the same whether the client sent the request here
    /// or to another member of the cluster.
    pub(super) fn prepare(
        &self,
        target: &str,
        body: &[u8],
        opaque_id: &str,
        now: Instant,
    ) -> Result<PreparedSearch, Response> {
        let path = path(target);
        let index = segments(&path).first().copied().unwrap_or_default();
        let parameters = target.split_once('?').map_or("", |(_, parameters)| parameters);
        let reject = |invalid: InvalidSearch| {
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(self.log, "invalid search"; "error" => %Excerpt(&invalid), "suppressed" => suppressed);
            }
            error(400, invalid.kind, &invalid.reason)
        };
        if index.contains([',', '*']) {
            let reason = format!("several indices in one search are not supported: [{index}]");
            return Err(reject(InvalidSearch { kind: "illegal_argument_exception", reason }));
        }
        let Some(class) = self.indices.iter().position(|i| i.as_deref() == Some(index)) else {
            return Err(error(404, "index_not_found_exception", &format!("no such index [{index}]")));
        };
        let search = Rc::new(query::parse(index, parameters, body).map_err(reject)?);
        let parts: Vec<ShardId> = match &search.shards {
            None => (0..self.shards).map(ShardId).collect(),
            Some(named) => named.iter().copied().map(ShardId).collect(),
        };
        if let Some(unknown_shard) = parts.iter().find(|s| s.0 >= self.shards) {
            let reason = format!("[{index}] has no shard [{}]", unknown_shard.0);
            return Err(reject(InvalidSearch { kind: "illegal_argument_exception", reason }));
        }
        let class_settings = &self.deployment.settings.classes[class];
        let time_limit = Duration::try_from_secs_f64(class_settings.deadline).unwrap_or(Duration::MAX);
        let time_limit = search.timeout.map_or(time_limit, |t| t.min(time_limit));
        let deadline = now.checked_add(time_limit).unwrap_or(now + Duration::from_secs(3600));
        let progress = Rc::new(RefCell::default());
        let opaque_id = opaque_id.to_owned();
        let (has_two_steps, shared_search) = (class_settings.second_step_parts > 0, search.clone());
        let context = RequestContext {
            search: shared_search,
            opaque_id,
            has_two_steps,
            progress: Rc::clone(&progress),
        };
        let share = 1.0 / parts.len() as f64;
        let query = Query {
            class: ClassId(class as u16),
            tenant: TenantId::NONE,
            deadline,
            is_retry: false,
            parts: parts.iter().map(|s| (*s, share)).collect(),
            context,
            protection: None,
        };
        Ok(PreparedSearch { search, progress, parts, started_at: now, deadline, query })
    }

    /// Returns the answer to a search for its final outcome.
    pub(super) fn response(
        &self,
        search: &Search,
        outcome: &QueryOutcome,
        progress: &SearchProgress,
        parts: &[ShardId],
        started_at: Instant,
        deadline: Instant,
    ) -> Response {
        match outcome {
            QueryOutcome::Answered { complete, values } => {
                self.answered(search, values, &missing_shards(parts, values, progress, *complete), started_at)
            }
            _ => self.unanswered(search, outcome, progress, parts, deadline),
        }
    }

    fn answered(
        &self,
        search: &Search,
        values: &Values,
        missing: &MissingShards,
        started_at: Instant,
    ) -> Response {
        if !search.partial && (!missing.failures.is_empty() || missing.timed_out) {
            return shards_failed(search, "Partial shards failure", &missing.failures, 503);
        }
        match merge::merge(search, values, missing, started_at.elapsed().as_millis()) {
            Some(body) => Response::new(200, body),
            None => error(500, "merge_exception", "the answers of the shards could not be merged"),
        }
    }

    /// Returns the error for a search without an answer: it timed out, servers failed, or it was rejected
    /// before any request was sent.
    fn unanswered(
        &self,
        search: &Search,
        outcome: &QueryOutcome,
        progress: &SearchProgress,
        parts: &[ShardId],
        deadline: Instant,
    ) -> Response {
        let failures: Vec<_> =
            parts.iter().filter_map(|s| Some((*s, progress.failures.get(s)?.clone()))).collect();
        let out_of_time =
            matches!(outcome, QueryOutcome::DeadlineExceeded) || Instant::now() + DEADLINE_MARGIN >= deadline;
        let retry_after = match outcome {
            QueryOutcome::Rejected { retry_after } => *retry_after,
            _ => None,
        };
        let answer = match failures.first() {
            // All servers reject the search itself, so it is invalid.
            Some((_, f)) if f.error.status == 400 && failures.iter().all(|(_, f)| f.error.status == 400) => {
                return error(400, &f.error.kind, &f.error.reason)
            }
            _ if out_of_time => error(504, "timeout_exception", "the search ran out of time"),
            Some(_) => shards_failed(search, "all shards failed", &failures, 503),
            None if progress.started => error(503, "search_phase_execution_exception", "the search failed"),
            None => return self.rejected_response("the coordinator cannot accept the search now"),
        };
        Response { retry_after, ..answer }
    }

    /// Returns the response to a rejected search.
    pub(super) fn rejected_response(&self, reason: &str) -> Response {
        let retry_after = self.deployment.settings.retry_after;
        Response { retry_after, ..error(429, "rejected_execution_exception", reason) }
    }
}

/// Returns the percent-decoded path of a request target.
pub(super) fn path(target: &str) -> Cow<'_, str> {
    let path = target.split('?').next().unwrap_or_default();
    percent_encoding::percent_decode_str(path).decode_utf8_lossy()
}

/// Returns the segments of a path.
pub(super) fn segments(path: &str) -> Vec<&str> {
    path.trim_matches('/').split('/').collect()
}

type Values = [(ShardId, Rc<[u8]>)];

/// Returns the shards that are missing from an answer, with the reasons. A shard without a known failure
/// timed out.
fn missing_shards(
    parts: &[ShardId],
    values: &Values,
    progress: &SearchProgress,
    complete: bool,
) -> MissingShards {
    // After two steps the values are those of the second. A shard is covered by the answer if it took part
    // in the first.
    let first = progress.first_step_shards.as_deref();
    let answered = |s: &ShardId| match first {
        Some(first) => first.contains(s),
        None => values.iter().any(|(shard, _)| shard == s),
    };
    let missing = parts.iter().filter(|s| !answered(s));
    let no_answer = || ShardFailure {
        node: String::new(),
        error: ShardError::new(504, "timeout_exception", "no answer in time"),
    };
    let failure = |s: &ShardId| (*s, progress.failures.get(s).cloned().unwrap_or_else(no_answer));
    let failures: Vec<_> = missing.map(failure).collect();
    let timed_out = failures.iter().any(|(_, f)| f.error.status == 504) || (!complete && failures.is_empty());
    MissingShards { total: parts.len(), failures, timed_out }
}

/// Returns an error response in the format of the search API.
pub(super) fn error(status: u16, kind: &str, reason: &str) -> Response {
    let cause = json!({"type": kind, "reason": reason});
    let body = json!({"error": {"root_cause": [cause], "type": kind, "reason": reason}, "status": status});
    Response::new(status, body.to_string())
}

/// Returns the error response to a search whose shards failed.
fn shards_failed(
    search: &Search,
    reason: &str,
    failures: &[(ShardId, ShardFailure)],
    status: u16,
) -> Response {
    let failed: Vec<Value> = failures.iter().map(|(s, f)| f.json(&search.index, *s)).collect();
    let causes: Vec<&Value> = failed.iter().map(|f| &f["reason"]).collect();
    let body = json!({"error": {"root_cause": causes, "type": "search_phase_execution_exception",
        "reason": reason, "phase": "query", "grouped": true, "failed_shards": failed}, "status": status});
    Response::new(status, body.to_string())
}
