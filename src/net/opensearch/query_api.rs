//! The second front: clients' searches over an OpenSearch-style query API.
use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;
use serde_json::json;

pub use super::search::Front;
use super::search::{error, path, segments, Ready};
use crate::net::buffer::Buffer;
use crate::net::http::{Answer, HttpError, Message};
use crate::net::http_server::Client;

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
                            503 => "rejected_execution_exception",
                            _ => "parse_exception",
                        };
                        client.write_error(&error(status, kind, &e.to_string())).await;
                    }
                    return;
                }
            };
            let mut flooded = false;
            let answer = match self.ready(&message, client.buffer(), client.arrived()) {
                Err(answer) => answer,
                Ok(ready) => match self.search(&mut client, &message, ready).await {
                    Ok(answer) => answer,
                    // Nothing is written, now or later.
                    Err(HttpError::Ended) => return,
                    Err(e) => {
                        flooded = true;
                        error(e.status().unwrap_or(400), "content_too_long_exception", &e.to_string())
                    }
                },
            };
            client.consume(message.length);
            if !client.write(&answer, message.keep_alive && !flooded).await {
                return;
            }
        }
    }

    /// The answer to a search; `Err` where its client left before, or floods us.
    async fn search(
        &self,
        client: &mut Client,
        message: &Message,
        ready: Ready,
    ) -> Result<Answer, HttpError> {
        if let Some((fleet, ask)) = self.protected(message, client.buffer(), &ready) {
            let asked = async { Ok(self.asked(&fleet, ask, ready.deadline).await) };
            let left = async { Err(client.gone(message.length).await) };
            // What its client leaves goes on in the fleet.
            if let Some(answer) = asked.or(left).await? {
                return Ok(answer);
            }
        }
        let Ready { search, notes, parts, begun, deadline, query } = ready;
        let Some(taken) = self.coordinator.submit(query) else {
            return Ok(self.refused("too many searches are open"));
        };
        let ended = async { Ok(taken.outcome().await) };
        let left = async { Err(client.gone(message.length).await) };
        // Dropping what was taken withdraws it.
        let outcome = ended.or(left).await?;
        let notes = notes.borrow();
        Ok(self.ended(&search, &outcome, &notes, &parts, begun, deadline))
    }

    /// What to do with a request: a search to be taken, or the answer that it gets at once.
    fn ready(&self, message: &Message, buffer: &Buffer, now: Instant) -> Result<Ready, Answer> {
        let (method, target) = (message.text(buffer, &message.method), message.text(buffer, &message.path));
        let path = path(target);
        match (method, &segments(&path)[..]) {
            ("GET", ["_health"]) => Err(self.health()),
            ("GET" | "POST", [_, "_search"]) => {
                let opaque = message.header(buffer, "X-Opaque-Id").unwrap_or("-");
                self.understand(target, &message.body(buffer), opaque, now)
            }
            (_, [_, "_search"]) => {
                let answer = error(
                    405,
                    "method_not_allowed_exception",
                    &format!("[{method}] is not supported for [_search], use GET or POST"),
                );
                Err(Answer { allow: Some("GET, POST"), ..answer })
            }
            _ => {
                let reason = format!("no handler found for uri [{target}] and method [{method}]");
                Err(error(404, "invalid_request_exception", &reason))
            }
        }
    }

    fn health(&self) -> Answer {
        let ready = self.coordinator.is_ready() && !self.closing.begun.get();
        Answer::new(if ready { 200 } else { 503 }, json!({"ready": ready}).to_string())
    }
}
