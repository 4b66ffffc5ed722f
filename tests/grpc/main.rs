//! The gRPC front against stand-ins that inject every status, late trailers, broken streams and floods; a checker
//! that knows what was sent judges each case.
mod changes;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod outcomes;
mod requests;
mod rig;
mod shutdown;
mod standin;
mod streams;
