//! The watch on a zone file: its servers go to a front's transport and balancer whenever its text changes.
//!
//! Invariant: a file that cannot be used changes nothing; the last servers stay.
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

/// Time between reads of the file: well below the grace of a drain.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Why the servers of a source cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The file cannot be read.
    #[error("cannot read {path}: {error}", path = .0.display(), error = .1)]
    Read(PathBuf, io::Error),
    /// Its records cannot be used.
    #[error("{0}")]
    ZoneFile(ZoneFileError),
}

/// The servers of a source as it is now.
///
/// # Errors
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

/// A transport that follows a list of servers.
pub trait FollowsServerList: Transport {
    /// Apply a complete list. Returns its servers as the balancer gets them.
    fn apply_list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint>;
}

/// Reads a zone file again and again, and applies what changed.
pub struct ZoneFileWatcher<T: FollowsServerList> {
    coordinator: Rc<Coordinator<T>>,
    servers: Rc<T>,
    zones: Vec<String>,
    source: ServerSource,
    /// The front's name in log lines.
    front: &'static str,
    /// The text that was applied last.
    applied_text: Vec<u8>,
    log: Logger,
}

impl<T: FollowsServerList> ZoneFileWatcher<T> {
    /// Apply the file as it is now, and return the watch that [`ZoneFileWatcher::run`] goes on with.
    ///
    /// # Errors
    /// See [`SourceError`]: a file that is unusable at the start ends it.
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

    /// Compares the text itself: a change within one tick of the file's clock counts too.
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

    /// Follow the file; never ends. Each error is logged once, until another one or none follows.
    pub async fn run(mut self) {
        let mut logged_error = String::new();
        loop {
            Timer::at(Instant::now() + READ_INTERVAL).await;
            // A file that is being written is complete soon.
            let error = self.apply_if_changed().err().map(|e| e.to_string()).unwrap_or_default();
            if error != logged_error && !error.is_empty() {
                warn!(self.log, "records not taken over"; "front" => self.front, "error" => &error);
            }
            logged_error = error;
        }
    }
}
