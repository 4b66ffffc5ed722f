//! Servers that are named by DNS-SD records (RFC 6763) in a zone file, and the watch that follows its changes.
pub mod watcher;
pub mod zone_file;
