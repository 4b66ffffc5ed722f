//! The `grpc.health.v1.Health` service of the front itself (gRPC health checking protocol). The empty service
//! name stands for the front as a whole, any other for a service that a route names. Messages are encoded by
//! prost; no I/O.
use bytes::Bytes;
use prost::Message as _;

use super::status::{Code, Status};
use super::wire;
use crate::grpc_routing::RouteTable;

/// The path prefix of the service's methods.
pub const SERVICE: &str = "/grpc.health.v1.Health/";

#[derive(Clone, PartialEq, prost::Message)]
struct HealthCheckRequest {
    #[prost(string, tag = "1")]
    service: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HealthCheckResponse {
    #[prost(enumeration = "State", tag = "1")]
    status: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    Unknown = 0,
    Serving = 1,
    NotServing = 2,
    ServiceUnknown = 3,
}

/// Decodes a request, and returns the name of the service that it asks about.
pub fn requested_service(message: &[u8]) -> Result<String, prost::DecodeError> {
    HealthCheckRequest::decode(message).map(|r| r.service)
}

/// Returns the state of a service: `Serving` while the front is `ready` and not shutting down (`closing`).
pub fn state(service: &str, routes: &RouteTable, ready: bool, closing: bool) -> State {
    let named = |pattern: &str| pattern.starts_with(&format!("/{service}/")) || pattern == "*";
    match service.is_empty() || routes.iter().any(|r| named(&r.pattern)) {
        false => State::ServiceUnknown,
        true if ready && !closing => State::Serving,
        true => State::NotServing,
    }
}

/// Builds the response to `Check`, which reports an unknown service by the status `NOT_FOUND`.
pub fn check(state: State) -> Result<Bytes, Status> {
    match state {
        State::ServiceUnknown => Err(Status::new(Code::NotFound, "unknown service")),
        state => Ok(message(state)),
    }
}

/// Encodes a state as a framed response message.
pub fn message(state: State) -> Bytes {
    let body = HealthCheckResponse { status: state as i32 }.encode_to_vec();
    wire::concat_messages(std::iter::once(&body[..])).unwrap_or_default()
}
