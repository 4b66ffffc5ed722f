//! Servers described by DNS-SD records (RFC 6763) in a zone file, and the watcher that follows changes of
//! the file.
//!
//! - [`zone_file`]: parses records into servers, without I/O
//! - [`registry`]: the servers that a transport knows, with their ids and incarnations, without I/O
//! - [`watcher`]: rereads the file when it changes
#![warn(missing_docs)]
pub mod registry;
pub mod watcher;
pub mod zone_file;
