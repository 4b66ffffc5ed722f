//! The platform's thin front: clients' queries over HTTP/1.1.
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use serde::Deserialize;
use slog::{info, warn, Logger};

use super::buffer::Buffer;
use super::data_nodes::{DataNodes, RequestContext};
use super::http::{Answer, HttpError, Message};
use super::http_server::{Client, GracefulShutdown};
use super::LogRateLimiter;
use crate::balancer::interface::*;
use crate::config::settings::Deployment;
use crate::coordinator::{Coordinator, Query, QueryOutcome};

/// The longest wait that a client may ask for; longer ones are cut to it.
const LONGEST: Duration = Duration::from_secs(3600);
const MOST_ID: usize = 64;
/// What the fraction of one part may be off by, as it was rounded on its way.
const ROUNDING: f64 = 5e-4;

#[derive(Deserialize)]
struct Body<'a> {
    tablets: Vec<Tablet>,
    #[serde(borrow)]
    statement: Cow<'a, str>,
}

#[derive(Deserialize)]
struct Tablet {
    tablet: u32,
    fraction: f64,
}

/// What is wrong with a request.
#[derive(Debug)]
enum RequestError {
    Missing(&'static str),
    Header(&'static str),
    Class,
    Body(serde_json::Error),
    Parts(&'static str),
    /// The id of a query that is still open.
    Open,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Missing(name) => write!(f, "{name} is missing"),
            RequestError::Header(name) => write!(f, "{name} cannot be used"),
            RequestError::Class => f.write_str("Req-Kind names no class"),
            RequestError::Body(e) => write!(f, "body: {e}"),
            RequestError::Parts(what) => write!(f, "tablets: {what}"),
            RequestError::Open => f.write_str("Req-Id is that of a query that is still open"),
        }
    }
}

pub struct PlatformApi {
    pub coordinator: Rc<Coordinator<DataNodes>>,
    pub deployment: Rc<Deployment>,
    pub closing: Rc<GracefulShutdown>,
    /// The ids of the queries that are open.
    pub open: Rc<RefCell<BTreeSet<String>>>,
    pub log: Logger,
    pub log_limiters: LogLimiters,
}

/// How many lines of each sort were logged lately.
#[derive(Default)]
pub struct LogLimiters {
    bad: LogRateLimiter,
    refused: LogRateLimiter,
    unanswered: LogRateLimiter,
    gone: LogRateLimiter,
}

/// An id that is in use until this is dropped.
struct Taken(Rc<RefCell<BTreeSet<String>>>, String);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

impl PlatformApi {
    /// The life of a client's connection and of each request on it, from its bytes to its one answer.
    pub async fn serve(self: Rc<Self>, mut client: Client) {
        loop {
            let message = match client.next().await {
                Ok(message) => message,
                Err(e) => {
                    if let Some(status) = e.status() {
                        if let Some(suppressed) = self.log_limiters.bad.permit() {
                            warn!(self.log, "unusable request"; "error" => %e, "suppressed" => suppressed);
                        }
                        client.write_error(&Answer::new(status, fault(&e))).await;
                    }
                    return;
                }
            };
            let begun = client.arrived();
            let mut flooded = false;
            let answer = match (
                message.text(client.buffer(), &message.method),
                message.text(client.buffer(), &message.path),
            ) {
                ("GET", "/_health") => self.health(),
                ("POST", "/api") => match self.query(&message, client.buffer(), begun) {
                    Err(bad) => {
                        if let Some(suppressed) = self.log_limiters.bad.permit() {
                            warn!(self.log, "unusable query"; "error" => %bad, "suppressed" => suppressed);
                        }
                        Answer::new(if matches!(bad, RequestError::Open) { 409 } else { 400 }, fault(&bad))
                    }
                    Ok((query, _open)) => match self.outcome(query, &mut client, &message, begun).await {
                        Ok(answer) => answer,
                        Err(HttpError::Ended) => return,
                        Err(e) => {
                            flooded = true;
                            Answer::new(e.status().unwrap_or(400), fault(&e))
                        }
                    },
                },
                (_, "/_health" | "/api") => Answer::new(405, fault(&"method not allowed")),
                _ => Answer::new(404, fault(&"no such path")),
            };
            client.consume(message.length);
            if !client.write(&answer, message.keep_alive && !flooded).await {
                return;
            }
        }
    }

    /// The answer to a query; `Err` where its client left before, or floods us, and nothing more is done for it.
    async fn outcome(
        &self,
        query: Query<RequestContext>,
        client: &mut Client,
        message: &Message,
        begun: Instant,
    ) -> Result<Answer, HttpError> {
        let query = Query { deadline: self.closing.cut(query.deadline), ..query };
        let class = message.header(client.buffer(), "Req-Kind").unwrap_or_default().to_owned();
        let id = query.context.id.clone();
        let Some(taken) = self.coordinator.submit(query) else {
            if let Some(suppressed) = self.log_limiters.refused.permit() {
                info!(self.log, "refused"; "why" => "as much is open as may be", "id" => id, "class" => class,
                    "suppressed" => suppressed, "open" => self.coordinator.open_queries(), "held" => self.coordinator.open_parts());
            }
            return Ok(self.refused(429, self.deployment.settings.retry_after));
        };
        if let Some(suppressed) =
            self.coordinator.is_full().then(|| self.log_limiters.refused.permit()).flatten()
        {
            info!(self.log, "no room for another query"; "open" => self.coordinator.open_queries(),
                "held" => self.coordinator.open_parts(), "suppressed" => suppressed);
        }
        let ended = async { Ok(taken.outcome().await) };
        let over = async {
            self.closing.over().await;
            Ok(QueryOutcome::DeadlineExceeded)
        };
        let left = async { Err(client.gone(message.length).await) };
        // Dropping what was taken withdraws it.
        let outcome = ended.or(left).or(over).await;
        let after = begun.elapsed().as_millis() as u64;
        match &outcome {
            Ok(QueryOutcome::Answered { .. }) => {}
            Ok(outcome) => {
                if let Some(suppressed) = self.log_limiters.unanswered.permit() {
                    info!(self.log, "not answered"; "outcome" => ?outcome, "id" => id, "class" => class,
                        "after_ms" => after, "suppressed" => suppressed);
                }
            }
            Err(e) => {
                if let Some(suppressed) = self.log_limiters.gone.permit() {
                    info!(self.log, "client gone"; "error" => %e, "id" => id, "class" => class, "after_ms" => after,
                        "suppressed" => suppressed);
                }
            }
        }
        Ok(self.answer(&outcome?))
    }

    /// Ready once queries can be served.
    fn health(&self) -> Answer {
        let ready = self.coordinator.is_ready() && !self.closing.begun.get();
        Answer::new(
            if ready { 200 } else { 503 },
            if ready { "{\"ready\":true}" } else { "{\"ready\":false}" },
        )
    }

    /// The query of a request, and its id's place among the open ones. What cannot be served as it stands goes
    /// no further. Guards the data nodes, which close on what they cannot read, whoever else waits there, and
    /// the module from sums that mean nothing.
    fn query(
        &self,
        message: &Message,
        buffer: &Buffer,
        now: Instant,
    ) -> Result<(Query<RequestContext>, Taken), RequestError> {
        let header = |name| match message.only(buffer, name) {
            Some(Ok(value)) => Ok(value),
            Some(Err(())) => Err(RequestError::Header(name)),
            None => Err(RequestError::Missing(name)),
        };
        let id = header("Req-Id")?;
        // It goes into the lines of frames, where a dot, a space or a line end would stand for something else.
        if !(1..=MOST_ID).contains(&id.len())
            || !id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'))
        {
            return Err(RequestError::Header("Req-Id"));
        }
        if self.open.borrow().contains(id) {
            return Err(RequestError::Open);
        }
        let kind = header("Req-Kind")?;
        let class = self
            .deployment
            .class_names
            .iter()
            .position(|c| !c.is_empty() && c == kind)
            .ok_or(RequestError::Class)?;
        let tenant = match self.deployment.tenant_names.is_empty() {
            true => None,
            false => message
                .only(buffer, "Req-Owner")
                .transpose()
                .map_err(|()| RequestError::Header("Req-Owner"))?,
        };
        let tenant = self.deployment.tenant(tenant);
        let wait = header("Req-Deadline-Ms")?;
        let digits = wait.bytes().all(|b| b.is_ascii_digit());
        let wait = wait
            .parse()
            .ok()
            .filter(|ms| digits && *ms > 0)
            .ok_or(RequestError::Header("Req-Deadline-Ms"))?;
        let deadline = now + Duration::from_millis(wait).min(LONGEST);
        let repeat = message.header(buffer, "Req-Retry") == Some("1");
        let body = message.body(buffer);
        let body: Body = serde_json::from_slice(&body).map_err(RequestError::Body)?;
        let mut parts: Vec<(ShardId, f64)> =
            body.tablets.iter().map(|t| (ShardId(t.tablet), t.fraction)).collect();
        let shards = self.deployment.shards.unwrap_or(u32::MAX);
        if parts.is_empty() || parts.iter().any(|(s, f)| s.0 >= shards || !(0.0..=1.0 + ROUNDING).contains(f))
        {
            return Err(RequestError::Parts("none, one that does not exist, or a fraction out of range"));
        }
        parts.sort_by_key(|p| p.0);
        if parts.windows(2).any(|w| w[0].0 == w[1].0) {
            return Err(RequestError::Parts("one is named twice"));
        }
        // Shares that were rounded on their way must not make a whole answer look short of its class's need;
        // shares that make no whole are not made one.
        let sum: f64 = parts.iter().map(|p| p.1).sum();
        if (sum - 1.0).abs() > ROUNDING * parts.len() as f64 {
            return Err(RequestError::Parts("the fractions do not add up to 1"));
        }
        parts.iter_mut().for_each(|p| p.1 /= sum);
        // Copied: attempts are written long after the buffer has moved on.
        let carried = RequestContext::new(id.to_owned(), body.statement.as_bytes().to_vec());
        self.open.borrow_mut().insert(id.to_owned());
        let open = Taken(self.open.clone(), id.to_owned());
        let class = ClassId(class as u16);
        Ok((
            Query { class, tenant, deadline, is_retry: repeat, parts, context: carried, protection: None },
            open,
        ))
    }

    fn answer(&self, outcome: &QueryOutcome) -> Answer {
        match outcome {
            QueryOutcome::Answered { complete, values } => {
                let piece = |(shard, value): &(ShardId, Rc<[u8]>)| serde_json::json!({"tablet": shard.0, "cell": String::from_utf8_lossy(value)});
                let pieces: Vec<_> = values.iter().map(piece).collect();
                Answer::new(200, serde_json::json!({"full": complete, "pieces": pieces}).to_string())
            }
            QueryOutcome::Rejected { retry_after } => self.refused(503, *retry_after),
            QueryOutcome::Failed => Answer::new(500, fault(&"failed")),
            QueryOutcome::DeadlineExceeded => Answer::new(504, fault(&"out of time")),
        }
    }

    fn refused(&self, status: u16, retry_after: Option<f64>) -> Answer {
        Answer { retry_after, ..Answer::new(status, fault(&"refused")) }
    }
}

fn fault(what: &dyn fmt::Display) -> String {
    serde_json::json!({"error": what.to_string()}).to_string()
}
