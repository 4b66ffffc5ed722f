//! The second front: clients' searches over an OpenSearch-style query API.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use serde_json::{json, Value};
use slog::{warn, Logger};

use super::merge::{self, Failure, Lacks};
use super::query::{self, BadQuery, Search};
use super::servers::{Carried, Notes, Servers};
use crate::core::{Core, Final, Query};
use crate::interface::*;
use crate::net::buffer::Buffer;
use crate::net::clients::{Client, Closing};
use crate::net::http::{Answer, Message};
use crate::net::Ration;
use crate::settings::Deployment;

/// An answer that comes this close before the end of its time was cut off by it.
const END: Duration = Duration::from_millis(60);

pub struct Front {
    pub core: Rc<Core<Servers>>,
    pub told: Rc<Deployment>,
    /// The index of each class, in the order of the classes.
    /// The index of each class, where it has one.
    pub indices: Vec<Option<String>>,
    pub shards: u32,
    pub closing: Rc<Closing>,
    pub log: Logger,
    pub said: Ration,
}

/// A search that was understood, on its way into the core.
struct Ready {
    search: Rc<Search>,
    notes: Rc<RefCell<Notes>>,
    parts: Vec<ShardId>,
    begun: Instant,
    deadline: Instant,
    query: Query<Carried>,
}

impl Front {
    /// The life of a client's connection and of each search on it, from its bytes to its one answer.
    pub async fn serve(self: Rc<Self>, mut client: Client) {
        loop {
            let message = match client.next().await {
                Ok(message) => message,
                Err(e) => {
                    if let Some(status) = e.status() {
                        let kind = match status {
                            413 => "content_too_long_exception",
                            408 => "timeout_exception",
                            _ => "parse_exception",
                        };
                        client.write(&error(status, kind, &e.to_string()), false).await;
                    }
                    return;
                }
            };
            let answer = match self.ready(&message, &client.buffer, Instant::now()) {
                Err(answer) => answer,
                Ok(Ready { search, notes, parts, begun, deadline, query }) => match self.core.take(query) {
                    None => self.refused("too many searches are open"),
                    Some(taken) => {
                        let ended = async { Some(taken.outcome().await) };
                        let left = async {
                            client.gone(message.length).await;
                            None
                        };
                        match ended.or(left).await {
                            Some(Final::Answered { whole, values }) => {
                                let notes = notes.borrow();
                                let lacks = lacks(&parts, &values, &notes, whole);
                                self.answered(&search, &values, &lacks, begun)
                            }
                            Some(outcome) => {
                                self.unanswered(&search, &outcome, &notes.borrow(), &parts, deadline)
                            }
                            // Dropping what was taken withdraws it; nothing is written, now or later.
                            None => return,
                        }
                    }
                },
            };
            client.buffer.consume(message.length);
            if !client.write(&answer, message.keep_alive).await {
                return;
            }
        }
    }

    /// What to do with a request: a search to be taken, or the answer that it gets at once.
    fn ready(&self, message: &Message, buffer: &Buffer, now: Instant) -> Result<Ready, Answer> {
        let (method, target) = (message.text(buffer, &message.method), message.text(buffer, &message.path));
        let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
        let path = percent_encoding::percent_decode_str(path).decode_utf8_lossy();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let index = match (method, &segments[..]) {
            ("GET", ["_health"]) => return Err(self.health()),
            ("GET" | "POST", [index, "_search"]) => *index,
            (_, [_, "_search"]) => {
                let answer = error(
                    405,
                    "method_not_allowed_exception",
                    &format!("[{method}] is not supported for [_search], use GET or POST"),
                );
                return Err(Answer { allow: Some("GET, POST"), ..answer });
            }
            _ => {
                let reason = format!("no handler found for uri [{target}] and method [{method}]");
                return Err(error(404, "invalid_request_exception", &reason));
            }
        };
        let refuse = |bad: BadQuery| {
            if let Some(spared) = self.said.line() {
                warn!(self.log, "unusable search"; "error" => %bad, "spared" => spared);
            }
            error(400, bad.kind, &bad.reason)
        };
        if index.contains([',', '*']) {
            let reason = format!("several indices in one search are not supported: [{index}]");
            return Err(refuse(BadQuery { kind: "illegal_argument_exception", reason }));
        }
        let Some(class) = self.indices.iter().position(|i| i.as_deref() == Some(index)) else {
            return Err(error(404, "index_not_found_exception", &format!("no such index [{index}]")));
        };
        let search = Rc::new(query::parse(index, parameters, &message.body(buffer)).map_err(refuse)?);
        let parts: Vec<ShardId> = match &search.shards {
            None => (0..self.shards).map(ShardId).collect(),
            Some(named) => named.iter().copied().map(ShardId).collect(),
        };
        if let Some(none) = parts.iter().find(|s| s.0 >= self.shards) {
            let reason = format!("[{index}] has no shard [{}]", none.0);
            return Err(refuse(BadQuery { kind: "illegal_argument_exception", reason }));
        }
        let told = &self.told.settings.classes[class];
        let wait = Duration::try_from_secs_f64(told.deadline).unwrap_or(Duration::MAX);
        let wait = search.timeout.map_or(wait, |t| t.min(wait));
        let deadline = now.checked_add(wait).unwrap_or(now + Duration::from_secs(3600));
        let notes = Rc::new(RefCell::default());
        let opaque = message.header(buffer, "X-Opaque-Id").unwrap_or("-").to_owned();
        let (ranked, carried) = (told.second_step > 0, search.clone());
        let carried = Carried { search: carried, opaque, ranked, notes: Rc::clone(&notes) };
        let share = 1.0 / parts.len() as f64;
        let query = Query {
            class: ClassId(class as u16),
            deadline,
            repeat: false,
            parts: parts.iter().map(|s| (*s, share)).collect(),
            carried,
            protection: None,
        };
        Ok(Ready { search, notes, parts, begun: now, deadline, query })
    }

    fn health(&self) -> Answer {
        let ready = self.core.ready() && !self.closing.begun.get();
        Answer::new(if ready { 200 } else { 503 }, json!({"ready": ready}).to_string())
    }

    fn answered(&self, search: &Search, values: &Values, lacks: &Lacks, begun: Instant) -> Answer {
        if !search.partial && (!lacks.failures.is_empty() || lacks.timed_out) {
            return shards_failed(search, "Partial shards failure", &lacks.failures, 503);
        }
        match merge::merge(search, values, lacks, begun.elapsed().as_millis()) {
            Some(body) => Answer::new(200, body),
            None => error(500, "merge_exception", "the answers of the shards could not be put together"),
        }
    }

    /// Why there is no answer: time, failures of the servers, or a refusal before anything was asked.
    fn unanswered(
        &self,
        search: &Search,
        outcome: &Final,
        notes: &Notes,
        parts: &[ShardId],
        deadline: Instant,
    ) -> Answer {
        let failures: Vec<_> =
            parts.iter().filter_map(|s| Some((*s, notes.failures.get(s)?.clone()))).collect();
        let late = matches!(outcome, Final::Overdue) || Instant::now() + END >= deadline;
        let retry_after = match outcome {
            Final::Refused { retry_after } => *retry_after,
            _ => None,
        };
        let answer = match failures.first() {
            // The servers find fault with the search itself: so it is.
            Some((_, f)) if f.status == 400 && failures.iter().all(|(_, f)| f.status == 400) => {
                return error(400, &f.kind, &f.reason)
            }
            _ if late => error(504, "timeout_exception", "the search ran out of time"),
            Some(_) => shards_failed(search, "all shards failed", &failures, 503),
            None if notes.begun => error(503, "search_phase_execution_exception", "the search failed"),
            None => return self.refused("the coordinator cannot take the search now"),
        };
        Answer { retry_after, ..answer }
    }

    fn refused(&self, reason: &str) -> Answer {
        let retry_after = self.told.settings.retry_after;
        Answer { retry_after, ..error(429, "rejected_execution_exception", reason) }
    }
}

type Values = [(ShardId, Rc<[u8]>)];

/// The shards that are not in an answer, and why. One that nothing is known of ran out of time.
fn lacks(parts: &[ShardId], values: &Values, notes: &Notes, whole: bool) -> Lacks {
    // After two steps the values are those of the second; a shard was in if it was in the first.
    let first = notes.first.as_deref();
    let is_in = |s: &ShardId| match first {
        Some(first) => first.contains(s),
        None => values.iter().any(|(shard, _)| shard == s),
    };
    let out = parts.iter().filter(|s| !is_in(s));
    let late = || Failure {
        node: String::new(),
        status: 504,
        kind: "timeout_exception".to_owned(),
        reason: "no answer in time".to_owned(),
    };
    let failure = |s: &ShardId| (*s, notes.failures.get(s).cloned().unwrap_or_else(late));
    let failures: Vec<_> = out.map(failure).collect();
    let timed_out = failures.iter().any(|(_, f)| f.status == 504) || (!whole && failures.is_empty());
    Lacks { total: parts.len(), failures, timed_out }
}

fn error(status: u16, kind: &str, reason: &str) -> Answer {
    let cause = json!({"type": kind, "reason": reason});
    let body = json!({"error": {"root_cause": [cause], "type": kind, "reason": reason}, "status": status});
    Answer::new(status, body.to_string())
}

fn shards_failed(search: &Search, reason: &str, failures: &[(ShardId, Failure)], status: u16) -> Answer {
    let failed: Vec<Value> = failures.iter().map(|(s, f)| f.json(&search.index, *s)).collect();
    let causes: Vec<&Value> = failed.iter().map(|f| &f["reason"]).collect();
    let body = json!({"error": {"root_cause": causes, "type": "search_phase_execution_exception",
        "reason": reason, "phase": "query", "grouped": true, "failed_shards": failed}, "status": status});
    Answer::new(status, body.to_string())
}
