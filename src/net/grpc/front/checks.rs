//! The checks before a call is submitted, and the health service. The checks determine the call's shards and
//! enforce the limit of its route on open calls.
use std::time::{Duration, Instant};

use http::HeaderMap;
use rand_core::RngCore;

use super::{Front, OpenRouteCall, RoutingConfig, FLUSH_TIMEOUT};
use crate::balancer::interface::ShardId;
use crate::grpc_routing::{self, Route};
use crate::net::grpc::call_memory::CallMemory;
use crate::net::grpc::caller::{grpc_headers, Caller};
use crate::net::grpc::health;
use crate::net::grpc::status::{Code, Status};
use crate::net::grpc::wire::{self, Framer};
use crate::net::timeout_at;

impl Front {
    /// Returns the shards of a call, from its metadata or its first message.
    ///
    /// # Errors
    ///
    /// Returns the status for a call that names no shard or an invalid one, or whose first message cannot be
    /// decoded.
    pub(super) fn shards(
        &self,
        route: &Route,
        headers: &HeaderMap,
        first: &[u8],
    ) -> Result<Vec<ShardId>, Status> {
        let to_status = |e: grpc_routing::ShardError| match e {
            grpc_routing::ShardError::TooLarge => Status::new(Code::ResourceExhausted, e.to_string()),
            grpc_routing::ShardError::UnsupportedEncoding(_) => {
                Status::new(Code::Unimplemented, e.to_string())
            }
            e => Status::new(Code::InvalidArgument, e.to_string()),
        };
        let encoding = headers.get(wire::GRPC_ENCODING).and_then(|v| v.to_str().ok());
        let first_message = match wire::split_message(first).filter(|_| route.needs_first_message()) {
            None => None,
            Some((compressed, message)) => {
                let decompressed =
                    grpc_routing::first_message(message, compressed, encoding, self.limits.max_decompressed);
                Some(decompressed.map_err(to_status)?)
            }
        };
        let metadata = |key: &str| {
            let values = headers.get_all(key).iter();
            // A value that is not text is replaced by one that names no shard, so that the call is rejected.
            values.map(|v| v.to_str().unwrap_or("?")).collect::<Vec<_>>()
        };
        let random = self.rng.borrow_mut().next_u64();
        route.shards(metadata, first_message.as_deref(), random).map_err(to_status)
    }

    /// Counts a call as open until the returned value is dropped, if its route limits the number of open
    /// calls.
    ///
    /// # Errors
    ///
    /// Returns the status for a call beyond that limit.
    pub(super) fn admit<'f>(
        &'f self,
        routing: &RoutingConfig,
        route: &'f Route,
    ) -> Result<Option<OpenRouteCall<'f>>, Status> {
        let Some(limit) = route.max_open_calls else { return Ok(None) };
        let mut open = self.open_calls.borrow_mut();
        let count = open.entry(route.pattern.clone()).or_default();
        if *count >= limit {
            let status = Status::new(Code::ResourceExhausted, "too many open calls of this method");
            return Err(Status { retry_after: routing.deployment.settings.retry_after, ..status });
        }
        *count += 1;
        Ok(Some(OpenRouteCall(self, &route.pattern)))
    }

    /// Serves a call of `grpc.health.v1.Health`, which reports the state of the front itself.
    pub(super) async fn serve_health(&self, path: &str, mut client: Caller, memory: &CallMemory) {
        let mut framer = Framer::new(1024, false);
        let received =
            timeout_at(Instant::now() + FLUSH_TIMEOUT, client.read_request(&mut framer, true, memory)).await;
        let Some(Ok(message)) = received else {
            return client
                .end(wire::trailers(&Status::new(Code::InvalidArgument, "the request cannot be read")));
        };
        let table = self.routing.load_full();
        let name = match wire::split_message(&message)
            .ok_or(())
            .and_then(|(_, m)| health::requested_service(m).map_err(drop))
        {
            Ok(service) => service,
            Err(()) => {
                let invalid = Status::new(Code::InvalidArgument, "the message is not a health check request");
                return client.end(wire::trailers(&invalid));
            }
        };
        let state =
            || health::state(&name, &table.routes, self.coordinator.is_ready(), self.shutdown.draining.get());
        match path.strip_prefix(health::SERVICE) {
            Some("Check") => match health::check(state()) {
                Ok(message) => {
                    let sent = client.send_headers(grpc_headers()).is_ok();
                    if sent
                        && timeout_at(Instant::now() + FLUSH_TIMEOUT, client.write(message))
                            .await
                            .is_some_and(|w| w.is_ok())
                    {
                        client.end(wire::trailers(&Status::new(Code::Ok, "")));
                    }
                }
                Err(status) => client.end(wire::trailers(&status)),
            },
            Some("Watch") => {
                if client.send_headers(grpc_headers()).is_err() {
                    return;
                }
                let mut sent = None;
                loop {
                    let now = state();
                    if sent != Some(now) {
                        sent = Some(now);
                        if client.write(health::message(now)).await.is_err() {
                            return;
                        }
                    }
                    if self.shutdown.draining.get() {
                        return client.end(wire::trailers(&Status::new(Code::Unavailable, "shutting down")));
                    }
                    // Polling every 200 ms costs little, and a load balancer in front of this proxy learns of
                    // a change within that time.
                    let later = Instant::now() + Duration::from_millis(200);
                    if timeout_at(later, client.disconnected()).await.is_some() {
                        return;
                    }
                }
            }
            _ => client.end(wire::trailers(&Status::new(Code::Unimplemented, "no such method"))),
        }
    }
}
