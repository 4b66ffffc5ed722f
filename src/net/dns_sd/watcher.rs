//! Servers from a source, as a front's transport and core follow them: numbers that stay, lives, and the watch.
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, warn, Logger};

use super::zone_file::{self, RecordsError, Server};
use crate::balancer::interface::*;
use crate::config::operator::ServerSource;
use crate::coordinator::{Clock, Coordinator, Transport};

/// Time between looks at the records: well under the time that a drain may take to be kept.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub enum SourceError {
    Read(PathBuf, io::Error),
    Records(RecordsError),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Read(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            SourceError::Records(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// The servers of a source as it is now.
pub fn read(source: &ServerSource) -> Result<Vec<Server>, SourceError> {
    let text = std::fs::read(&source.records).map_err(|e| SourceError::Read(source.records.clone(), e))?;
    zone_file::parse(&text, &source.service).map_err(SourceError::Records)
}

/// A server that was listed, and how many lives of it are known.
pub struct Member {
    pub server: Server,
    pub life: u64,
}

/// What a list changed of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is on the list, as it was or in another phase.
    Listed(EndpointState),
    /// It is another process now, or at another place: what leads to the old one is of no more use.
    Moved(EndpointState),
    /// It is on the list no more: a drain.
    Gone,
}

/// The servers that a transport knows.
#[derive(Default)]
pub struct Book {
    members: BTreeMap<ReplicaId, Member>,
    names: BTreeMap<String, ReplicaId>,
}

impl Book {
    /// Take over a whole list: what the module is to be told, and what changed.
    pub fn list(
        &mut self,
        servers: &[Server],
        zones: &[String],
        clock: &Clock,
    ) -> (Vec<Endpoint>, Vec<(ReplicaId, Change)>) {
        let mut changes = Vec::new();
        for (id, old) in &mut self.members {
            if !servers.iter().any(|s| s.name == old.server.name) {
                old.server.phase = EndpointState::Removed;
                changes.push((*id, Change::Gone));
            }
        }
        let (mut listed, now) = (Vec::new(), clock.at(Instant::now()));
        for server in servers {
            let next = ReplicaId(self.names.len() as u64 + 1);
            let replica = *self.names.entry(server.name.clone()).or_insert(next);
            let new = || Member { server: server.clone(), life: 0 };
            let held = self.members.entry(replica).or_insert_with(new);
            let moved = held.server.born != server.born || held.server.address != server.address;
            held.life += u64::from(moved);
            held.server = server.clone();
            let change = if moved { Change::Moved } else { Change::Listed };
            changes.push((replica, change(server.phase)));
            let zone = zones.iter().position(|z| *z == server.zone).map_or(u8::MAX, |n| n as u8);
            listed.push(Endpoint {
                replica,
                zone: ZoneId(zone),
                cell: CellId(server.cell),
                state: server.phase,
                weight: server.weight,
                // A start that is still to come is one of a clock that disagrees with ours.
                started: clock.from_unix_ms(server.born).map(|at| at.min(now)),
            });
        }
        (listed, changes)
    }

    pub fn get(&self, replica: ReplicaId) -> Option<&Member> {
        self.members.get(&replica)
    }

    /// Where a server is and which life of it, if it wants anything new.
    pub fn ready(&self, replica: ReplicaId) -> Option<(std::net::SocketAddr, u64)> {
        let held = self.members.get(&replica).filter(|m| m.server.phase == EndpointState::Ready)?;
        Some((held.server.address, held.life))
    }
}

/// A transport that follows a list of servers.
pub trait Follows: Transport {
    /// Take over a whole list; what the module is to be told of it.
    fn list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint>;
}

/// The records, read again whenever they change.
pub struct Watch<T: Follows> {
    core: Rc<Coordinator<T>>,
    servers: Rc<T>,
    zones: Vec<String>,
    source: ServerSource,
    front: &'static str,
    seen: Vec<u8>,
    log: Logger,
}

impl<T: Follows> Watch<T> {
    /// Begin with the records as they are: bad ones at the start end it there.
    pub fn begin(
        core: Rc<Coordinator<T>>,
        servers: Rc<T>,
        zones: Vec<String>,
        source: ServerSource,
        front: &'static str,
        log: Logger,
    ) -> Result<Watch<T>, SourceError> {
        let mut watch = Watch { core, servers, zones, source, front, seen: Vec::new(), log };
        watch.look()?;
        Ok(watch)
    }

    /// Compares the text itself: guards against a change within one tick of the file's clock.
    fn look(&mut self) -> Result<(), SourceError> {
        let path = &self.source.records;
        let text = std::fs::read(path).map_err(|e| SourceError::Read(path.clone(), e))?;
        if text == self.seen {
            return Ok(());
        }
        let servers = zone_file::parse(&text, &self.source.service).map_err(SourceError::Records)?;
        let entries = self.servers.list(&servers, &self.zones, &self.core.clock());
        info!(self.log, "list of servers"; "front" => self.front, "entries" => entries.len());
        self.core.update_endpoints(EndpointUpdate::Full, entries);
        self.seen = text;
        Ok(())
    }

    pub async fn run(mut self) {
        let mut said = String::new();
        loop {
            Timer::at(Instant::now() + LOOK).await;
            // Records that cannot be read change nothing: a file that is being written is whole soon.
            let fault = self.look().err().map(|e| e.to_string()).unwrap_or_default();
            if fault != said && !fault.is_empty() {
                warn!(self.log, "records not taken over"; "front" => self.front, "error" => &fault);
            }
            said = fault;
        }
    }
}
