//! Watches a zone file and passes its servers to the transport and the balancer of a front when its text
//! changes.
//!
//! Invariant: an unusable file changes nothing; the previous servers are kept.
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, warn, Logger};

use super::zone_file::{self, Server, ZoneFileError};
use crate::balancer::interface::{Endpoint, EndpointUpdate};
use crate::config::operator::ServerSource;
use crate::coordinator::{Clock, Coordinator, Transport};

/// Interval between reads of the file, well below the grace period of a drain.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Errors of reading the servers of a source.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The file could not be read.
    #[error("cannot read {path}: {error}", path = .0.display(), error = .1)]
    Read(PathBuf, io::Error),
    /// The records of the file are invalid.
    #[error("{0}")]
    ZoneFile(ZoneFileError),
}

/// Reads the current servers of a source.
///
/// # Errors
///
/// See [`SourceError`].
pub fn read(source: &ServerSource) -> Result<Vec<Server>, SourceError> {
    parse(source, &read_text(source)?)
}

fn read_text(source: &ServerSource) -> Result<Vec<u8>, SourceError> {
    std::fs::read(&source.records).map_err(|e| SourceError::Read(source.records.clone(), e))
}

fn parse(source: &ServerSource, text: &[u8]) -> Result<Vec<Server>, SourceError> {
    zone_file::parse(text, &source.service).map_err(SourceError::ZoneFile)
}

/// A transport that uses a list of servers.
pub trait FollowsServerList: Transport {
    /// Applies a complete list and returns its servers as endpoints for the balancer.
    fn apply_list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint>;
}

/// Rereads a zone file periodically and applies changes.
pub struct ZoneFileWatcher<T: FollowsServerList> {
    coordinator: Rc<Coordinator<T>>,
    servers: Rc<T>,
    zones: Vec<String>,
    source: ServerSource,
    /// Name of the front in log lines.
    front: &'static str,
    /// Text that was last applied.
    applied_text: Vec<u8>,
    log: Logger,
}

impl<T: FollowsServerList> ZoneFileWatcher<T> {
    /// Applies the current file and returns a watcher, which [`ZoneFileWatcher::run`] continues.
    ///
    /// # Errors
    ///
    /// See [`SourceError`]. A file that is unusable at startup is an error.
    pub fn start(
        coordinator: Rc<Coordinator<T>>,
        servers: Rc<T>,
        zones: Vec<String>,
        source: ServerSource,
        front: &'static str,
        log: Logger,
    ) -> Result<ZoneFileWatcher<T>, SourceError> {
        let applied_text = Vec::new();
        let mut watcher = ZoneFileWatcher { coordinator, servers, zones, source, front, applied_text, log };
        watcher.apply_if_changed()?;
        Ok(watcher)
    }

    /// Applies the file if its text has changed. The text itself is compared, so a change within one tick of
    /// the file system's clock is detected.
    fn apply_if_changed(&mut self) -> Result<(), SourceError> {
        let text = read_text(&self.source)?;
        if text == self.applied_text {
            return Ok(());
        }
        let servers = parse(&self.source, &text)?;
        let endpoints = self.servers.apply_list(&servers, &self.zones, &self.coordinator.clock());
        info!(self.log, "list of servers"; "front" => self.front, "entries" => endpoints.len());
        self.coordinator.update_endpoints(EndpointUpdate::Full, endpoints);
        self.applied_text = text;
        Ok(())
    }

    /// Follows the file; never returns. An error is logged once until it is resolved or a different one
    /// occurs.
    pub async fn run(mut self) {
        let mut logged_error = String::new();
        loop {
            Timer::at(Instant::now() + READ_INTERVAL).await;
            // A file that is being written will be complete at a later read.
            let error = self.apply_if_changed().err().map(|e| e.to_string()).unwrap_or_default();
            if error != logged_error && !error.is_empty() {
                warn!(self.log, "invalid records ignored"; "front" => self.front, "error" => &error);
            }
            logged_error = error;
        }
    }
}
