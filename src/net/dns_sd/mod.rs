//! Servers that are named by DNS-SD records (RFC 6763) in a zone file, and the watch that follows its
//! changes.
//!
//! - [`zone_file`]: from records to servers, without I/O
//! - [`registry`]: the servers that a transport knows, their ids and incarnations, without I/O
//! - [`watcher`]: reads the file again whenever it changes
#![warn(missing_docs)]
pub mod registry;
pub mod watcher;
pub mod zone_file;
