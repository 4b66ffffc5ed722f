//! Bytes that are sent or stored, held against committed ones: a change of a name or a tag in what is sent or stored
//! must not pass unseen, which it would where one build both writes and reads.
//!
//! The fixtures in `data/` are written anew only where `WRITE_GOLDEN` is set: that is for a change of a form that is
//! meant, and for nothing else.
mod closed_timestamp;
#[path = "../common/mod.rs"]
mod common;
mod data_nodes;
mod data_nodes_lines;
mod fixtures;
mod forecast;
mod links;
mod report;
mod shard_layout;
mod work;
