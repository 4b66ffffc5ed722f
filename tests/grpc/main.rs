//! The gRPC front against stub servers and raw connections that inject every status, late trailers, broken
//! streams and floods. Each result is checked against the log of what the stub servers received and sent.
mod changes;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod evictions;
mod outcomes;
mod raw;
mod requests;
mod rig;
mod shutdown;
mod standin;
mod streams;
