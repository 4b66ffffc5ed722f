//! The list of data nodes, as discovery tells it: the whole list, then a watch on changes.
use std::borrow::Cow;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use serde::Deserialize;
use slog::{info, warn, Logger};

use super::buffer::Buffer;
use super::by;
use super::http::{self, HttpError, Kind};
use super::nodes::{Entry, Nodes};
use crate::core::{Clock, Core};
use crate::interface::*;

/// What a watch that has fallen silent misses counts as told so long after that, come what may; it may fall silent
/// as soon as it is begun.
const TOLD: Duration = Duration::from_secs(6);
/// How long a call may wait for its turn at discovery before that ends it.
const TURN: Duration = Duration::from_secs(2);
/// How long an answer that brings nothing may come behind its wait: up to 0.39 s was seen behind a crowd of calls.
const LATE: Duration = Duration::from_millis(500);
/// How long discovery may hold a call. Guards against sending to what drains on a list that fell silent: within what
/// counts as told, silence is found, a call is ended behind its turn, and another still has one second.
const HOLD: Duration = Duration::from_secs(2);
const _: () = assert!(HOLD.as_millis() + LATE.as_millis() + TURN.as_millis() + 1000 < TOLD.as_millis());
/// The same where the new watch is silent too.
const _: () = assert!(2 * (HOLD.as_millis() + LATE.as_millis()) + 1000 <= TOLD.as_millis());
const CONNECT: Duration = Duration::from_secs(1);
/// The largest list: some ten thousand data nodes with long names. Only what comes is held in memory, and not for
/// longer than it is read; the bound guards that memory against an answer that never ends.
const MOST_LIST: usize = 4 << 20;

#[derive(Debug, Deserialize)]
pub struct List<'a> {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(borrow, default)]
    pub hosts: Vec<Host<'a>>,
}

#[derive(Debug, Deserialize)]
pub struct Host<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow)]
    dial: Cow<'a, str>,
    #[serde(borrow, default)]
    site: Cow<'a, str>,
    #[serde(default)]
    block: u16,
    #[serde(borrow)]
    health: Cow<'a, str>,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug)]
pub enum DiscoveryError {
    Http(HttpError),
    Status(u16),
    List(serde_json::Error),
    /// No connection came up in time.
    Unreachable,
    /// The watch brought nothing, not even the end of its wait.
    Silent,
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Http(e) => write!(f, "{e}"),
            DiscoveryError::Status(s) => write!(f, "status {s}"),
            DiscoveryError::List(e) => write!(f, "unusable list: {e}"),
            DiscoveryError::Unreachable => f.write_str("no connection in time"),
            DiscoveryError::Silent => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for DiscoveryError {}

impl<E: Into<HttpError>> From<E> for DiscoveryError {
    fn from(e: E) -> Self {
        DiscoveryError::Http(e.into())
    }
}

pub struct Discovery {
    pub address: SocketAddr,
    /// Where it is from now on, each time a new configuration says so.
    pub moves: Receiver<SocketAddr>,
    pub core: Rc<Core<Nodes>>,
    pub nodes: Rc<Nodes>,
    pub zones: Vec<String>,
    pub log: Logger,
}

impl Discovery {
    /// Hand a list on: to the connections first, whose writes it may stop, then to the module.
    pub fn apply(&self, list: &List, news: News) {
        let clock = self.core.clock();
        let entries: Vec<Listed> = list.hosts.iter().filter_map(|h| self.entry(h, &clock)).collect();
        if news != News::Delta {
            self.nodes.keep_only(&entries.iter().map(|e| e.replica).collect());
        }
        info!(self.log, "list of data nodes"; "seq" => list.seq, "whole" => news != News::Delta,
            "entries" => entries.len());
        self.nodes.forget(Instant::now());
        self.core.members(news, entries);
    }

    fn entry(&self, host: &Host, clock: &Clock) -> Option<Listed> {
        let phase = match &*host.health {
            "up" => Phase::Ready,
            "draining" => Phase::Draining,
            _ => Phase::Gone,
        };
        let Ok(address) = host.dial.parse() else {
            warn!(self.log, "unusable address of a data node"; "host" => &*host.host, "dial" => &*host.dial);
            return None;
        };
        let replica =
            self.nodes.list(&Entry { name: host.host.to_string(), address, phase, born: host.born_ms });
        let zone = self.zones.iter().position(|z| *z == host.site).map_or(u8::MAX, |n| n as u8);
        let (cell, weight, started) = (CellId(host.block), host.share, clock.born(host.born_ms));
        Some(Listed { replica, zone: ZoneId(zone), cell, phase, weight, started })
    }

    /// Follow the list for as long as the program runs. The module says when to begin (anew); a move acts at
    /// once, whether a watch runs, has failed or was never begun. Guards against a drain that only the new
    /// place tells, while we wait for the old one to close.
    pub async fn watch(mut self, seq: u64) {
        let subscriptions = self.core.subscriptions();
        let moves = self.moves.clone();
        let moved = || async {
            match moves.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await,
            }
        };
        let (mut seq, mut to) = (Some(seq), None);
        loop {
            if to.is_none() {
                let asked = async {
                    match subscriptions.recv().await {
                        Ok(()) => None,
                        Err(_) => std::future::pending().await,
                    }
                };
                to = moved().or(asked).await;
            }
            if let Some(address) = to.take() {
                // Versions of another place say nothing about ours: its list is asked for whole.
                (self.address, seq) = (address, None);
            }
            let failed = async {
                loop {
                    match self.follow(&mut seq).await {
                        // A silent watch is broken, and what it misses will count as told: it is begun anew at once,
                        // not when the module next asks for one.
                        Err(DiscoveryError::Silent) => {
                            warn!(self.log, "watch on discovery fell silent"; "address" => %self.address, "seq" => seq);
                        }
                        Err(e) => return Err(e),
                        Ok(never) => match never {},
                    }
                }
            };
            match async { Ok(moved().await) }.or(failed).await {
                Ok(address) => to = address,
                Err(e) => {
                    warn!(self.log, "watch on discovery ended"; "error" => %e, "address" => %self.address,
                        "seq" => seq);
                    self.core.members(News::Failed, Vec::new());
                }
            }
        }
    }

    /// One watch: each call follows the last answer at once. Ends when a call fails.
    async fn follow(&self, seq: &mut Option<u64>) -> Result<std::convert::Infallible, DiscoveryError> {
        let mut buffer = Buffer::default();
        let mut stream = self.connect().await?;
        loop {
            let latest = Instant::now() + HOLD + LATE;
            let changes =
                seq.map(|seq| format!("?index={seq}&wait={}", HOLD.as_millis())).unwrap_or_default();
            let call = format!("GET /catalog/members{changes} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
            let answer = async {
                stream.write_all(call.as_bytes()).await?;
                http::read(&mut stream, &mut buffer, Kind::Answer, MOST_LIST).await
            };
            let answer = by(latest, answer).await.ok_or(DiscoveryError::Silent)??;
            if answer.status != 200 {
                return Err(DiscoveryError::Status(answer.status));
            }
            let body = answer.body(&buffer);
            let list: List = serde_json::from_slice(&body).map_err(DiscoveryError::List)?;
            if list.whole || !list.hosts.is_empty() {
                self.apply(&list, if list.whole { News::Full } else { News::Delta });
            }
            *seq = Some(list.seq);
            drop(body);
            buffer.consume(answer.length);
            if !answer.keep_alive {
                buffer = Buffer::default();
                stream = self.connect().await?;
            }
        }
    }

    async fn connect(&self) -> Result<Async<TcpStream>, DiscoveryError> {
        let latest = Instant::now() + CONNECT;
        let stream = by(latest, Async::<TcpStream>::connect(self.address)).await;
        Ok(stream.ok_or(DiscoveryError::Unreachable)??)
    }
}
