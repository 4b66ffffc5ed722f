//! Clients that send faster than the program serves them, beside a client with a single request. What they
//! have sent must not be served before the request of that client.
//!
//! The program is stopped while all clients send, so that it finds all requests at once, the single one last.
//! How much of the others' requests was answered before it does not depend on the speed of the machine.
#[path = "../common/mod.rs"]
mod common;
mod flood;
mod grpc;
#[path = "../grpc/raw.rs"]
#[allow(dead_code, reason = "shared with the tests of the gRPC front")]
mod raw;
mod requests;
