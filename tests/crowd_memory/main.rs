//! Crowds of clients that make the process hold as much as they can, at a process with the least memory that
//! the platform grants and the most descriptors. The kernel's count of its memory must stay below the limit, and
//! usual clients must be served meanwhile.
#[path = "../common/mod.rs"]
mod common;
mod crowd;
mod grpc;
mod http;
#[path = "../grpc/raw.rs"]
#[allow(dead_code, reason = "shared with the tests of the gRPC front")]
mod raw;
