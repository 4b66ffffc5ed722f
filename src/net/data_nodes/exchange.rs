//! The life of one connection on its socket: come up, write frames, read answers, end.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{debug, info, warn};

use super::connection::{ended, Connection, Item, Out, Probe};
use super::DataNodes;
use crate::balancer::interface::*;
use crate::config::settings;
use crate::coordinator::{AttemptResult, ScoredValue};
use crate::net::buffer::Buffer;
use crate::net::data_nodes::frames::{self, Frame};
use crate::net::invariants;
use crate::net::socket::{self, ConnectError, Stream};
use crate::net::timeout_at;
use crate::send_policy::{Denied, SendConditions, FRAME_TIME};

/// Share of the time after which a data node would close an idle connection: we do it then. A request that
/// crosses its close would end as a reset.
const IDLE_SHARE: f64 = 0.8;
/// How long a frame may take to come in from its first byte on.
const FRAME: Duration = Duration::from_millis(250);
/// For how long a connection may owe answers and bring none before it is given up, where another one to the same
/// data node answers.
const SILENT: Duration = Duration::from_millis(400);
/// Time between looks for a free place where parts wait for one: those of given-up parts are freed by time.
const LOOK: Duration = Duration::from_millis(20);
/// What a part is told less of its time where no second one may run beside it: its data node counts from when the part
/// is there, behind the way and a new connection's handshake. The rules on sockets allow each limit as much.
const TRANSIT: Duration = Duration::from_millis(50);
/// A connection's room for frames is kept up to this.
const MOST_KEPT: usize = 16 * 1024;

impl DataNodes {
    /// The life of one connection: come up in time, then write what is queued and read what comes back.
    pub(super) async fn serve(
        self: Rc<Self>,
        replica: ReplicaId,
        address: SocketAddr,
        connection: Rc<Connection>,
    ) {
        let latest = Instant::now() + self.deployment.connections.connect_timeout;
        let closed = async {
            connection.wait(|| connection.closed.get()).await;
            None
        };
        let local_failure = || {
            invariants::local_failure();
            connection.local_failure.set(true);
        };
        let connected = async { Some(socket::connect_noting(address, latest, local_failure).await) };
        let outcome = match connected.or(closed).await {
            Some(Ok(stream)) => {
                let nodelay = stream.set_nodelay();
                debug!(self.log, "connection up"; "replica" => replica.0, "nodelay" => nodelay);
                connection.up.set(true);
                connection.used.set(Instant::now());
                connection.wake.notify(usize::MAX);
                let (mut reader, mut writer) = (&stream, &stream);
                let read = self.read(replica, &connection, &mut reader);
                let write = self.write(replica, &connection, &mut writer);
                let closed = connection.wait(|| connection.closed.get());
                // What has come is read before anything ends it. Guards answers that lie there when a write meets
                // a reset behind them, or when we give the connection up: served, they would be told as lost.
                read.or(closed).or(write).await;
                // We closed it ourselves where its process is known to be no more.
                let (known, silent) = (connection.closed.get(), connection.silent.get());
                let [unsent, lost] = connection.end();
                drop(stream);
                self.let_go(&connection);
                if !unsent.is_empty() || !lost.is_empty() {
                    let lives = silent || (!known && self.lives(replica).await);
                    // What we closed by ourselves nobody refused.
                    let refused = !known && !lives;
                    ended(&unsent, if refused { Outcome::ConnectFailed } else { Outcome::NeverSent });
                    // What fell silent may still be worked on, and never hears of our close.
                    if !(silent && self.alone()) {
                        ended(&lost, if lives { Outcome::ConnectionLost } else { Outcome::Reset });
                    }
                }
                return;
            }
            Some(Err(e)) => {
                debug!(self.log, "no connection"; "replica" => replica.0, "error" => %e);
                match e {
                    ConnectError::Local(_) => Outcome::NeverSent,
                    ConnectError::Refused(_) | ConnectError::Late => Outcome::ConnectFailed,
                }
            }
            // Closed by ourselves: its data node moved, or is another process now, which refused nothing.
            None => Outcome::NeverSent,
        };
        let [unsent, _] = connection.end();
        ended(&unsent, outcome);
        self.let_go(&connection);
    }

    /// Whether no attempt of a part may run beside another one. Then one that we end by ourselves must be over at its
    /// data node too before the next begins: it ends with the time that it was told, or with its answer.
    fn alone(&self) -> bool {
        !self.deployment.settings.hedging
    }

    /// Its descriptor is free, unless it was closed to make way for another and has been counted out before.
    fn let_go(&self, connection: &Connection) {
        if connection.counted.replace(false) {
            self.descriptors.give_back();
        }
    }

    /// Write what is queued. Ends where a frame cannot be written whole: its parts are under way for good.
    async fn write(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let idle = self.deployment.connections.idle_timeout.mul_f64(IDLE_SHARE);
        let mut bytes = Vec::new();
        loop {
            let streams = self.deployment.connections.max_streams;
            let crowded = !connection.queue.borrow().is_empty();
            let latest = if crowded { Instant::now() + LOOK } else { connection.used.get() + idle };
            let some = timeout_at(latest, connection.wait(|| connection.next(streams).is_some()));
            if some.await.is_none() {
                let unused = connection.used.get() + idle <= Instant::now();
                if unused && connection.idle() {
                    return;
                }
                // Silent, but it still carries something.
                if unused {
                    connection.used.set(Instant::now());
                }
                continue;
            }
            bytes.clear();
            bytes.shrink_to(MOST_KEPT);
            let (parts, probe) = self.next_frame(replica, connection, &mut bytes);
            // All that was queued may have been called off: for the data node it has then rested on.
            if !bytes.is_empty() {
                connection.used.set(Instant::now());
            }
            if let Some(probe) = probe {
                connection.probes.borrow_mut().push_back(probe);
            }
            // The parts wait from their first byte on, so that none is left out of what the connection holds;
            // until the last byte is written they have not run.
            connection.waiting.borrow_mut().extend(parts.iter().cloned());
            connection.under_way.borrow_mut().extend(parts.iter().cloned());
            if !parts.is_empty() && connection.owes.get().is_none() {
                connection.owes.set(Some(Instant::now()));
            }
            // An error comes only instead of the last byte: with that taken, all is written.
            let latest =
                parts.iter().filter_map(|item| item.permit.get()).map(|permit| permit.latest()).min();
            let latest = latest.unwrap_or_else(|| Instant::now() + FRAME_TIME);
            match timeout_at(latest, stream.write_all(&bytes)).await {
                Some(Ok(())) => {}
                Some(Err(_)) => return,
                None => return self.stalled(replica, connection),
            }
            let written = Instant::now();
            let permits = parts.iter().filter_map(|item| item.permit.get());
            permits.for_each(|permit| invariants::check(permit.written(written)));
            connection.under_way.borrow_mut().clear();
        }
    }

    /// Its data node does not read on: the frame would be finished with a time that is over, or for nobody. What is
    /// out on the connection may have run, and its data node may be sound.
    fn stalled(&self, replica: ReplicaId, connection: &Connection) {
        invariants::stalled();
        if let Some(suppressed) = self.log_limiter.permit() {
            let unfinished = connection.under_way.borrow().first().map(|item| item.id.clone());
            info!(self.log, "a data node does not read"; "replica" => replica.0, "unfinished" => unfinished,
                "out" => connection.waiting.borrow().len(), "suppressed" => suppressed);
        }
        connection.silent.set(true);
    }

    /// The next frame. The place of the last look at whom it goes to and whether it is still wanted: guards
    /// against a send that was queued, or waited on a connect, when its data node began to drain, went away or
    /// began a new life, and against one whose part is over, called off, or out of time.
    fn next_frame(
        &self,
        replica: ReplicaId,
        connection: &Connection,
        bytes: &mut Vec<u8>,
    ) -> (Vec<Rc<Item>>, Option<Probe>) {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&replica).filter(|n| n.phase == EndpointState::Ready);
        let mut queue = connection.queue.borrow_mut();
        let (mut parts, now) = (Vec::new(), Instant::now());
        let per_call = self.deployment.settings.max_parts_per_call.max(1) as usize;
        let at = frames::open(bytes, b'q');
        let transit = if self.alone() { TRANSIT } else { Duration::ZERO };
        let streams = self.deployment.connections.max_streams;
        loop {
            // The frame's own parts take places too.
            let full = connection.carried(now) + parts.len() >= streams;
            let next = queue.iter().position(|out| !full || !matches!(out, Out::Part(_)));
            // What has been put together goes out before anything that is no part of it.
            let part = next.is_some_and(|n| matches!(queue[n], Out::Part(_)));
            if !parts.is_empty() && !part {
                frames::seal(bytes, at);
                return (parts, None);
            }
            let Some(out) = next.and_then(|n| queue.remove(n)) else { break };
            match out {
                Out::Part(item) => {
                    let conditions = SendConditions {
                        now,
                        deadline: item.deadline,
                        transit,
                        called_off: item.stop.is_cancelled(),
                        replica_ready: node.is_some_and(|n| n.life == item.life),
                        window_over: item.stop.is_past_retry_window(now),
                    };
                    let permit = match conditions.permit() {
                        Ok(permit) => permit,
                        Err(denied) => {
                            invariants::denied(denied);
                            debug!(self.log, "not sent"; "id" => &item.id, "replica" => replica.0, "why" => ?denied);
                            // Otherwise its attempt has ended, or is about to be told so.
                            if matches!(denied, Denied::ReplicaNotReady | Denied::WindowOver) {
                                drop(item.end.0.try_send(Outcome::NeverSent.into()));
                            }
                            continue;
                        }
                    };
                    item.permit.set(Some(permit));
                    let left = permit.told_ms();
                    let Item { id, shard, extra, carried, .. } = &*item;
                    let head = format!("{id} {} d={left}{extra} {}\n", shard.0, carried.statement.len());
                    bytes.extend_from_slice(head.as_bytes());
                    bytes.extend_from_slice(&item.carried.statement);
                    parts.push(item);
                    if parts.len() == per_call {
                        frames::seal(bytes, at);
                        return (parts, None);
                    }
                }
                Out::GiveUp(id) => {
                    bytes.truncate(at);
                    let at = frames::open(bytes, b'c');
                    bytes.extend_from_slice(id.as_bytes());
                    frames::seal(bytes, at);
                    return (parts, None);
                }
                Out::Probe(letter, done) if node.is_some() => {
                    bytes.truncate(at);
                    let at = frames::open(bytes, letter);
                    frames::seal(bytes, at);
                    return (parts, Some(done));
                }
                Out::Probe(..) => {}
            }
        }
        bytes.clear();
        (parts, None)
    }

    /// Read answers until the connection ends or says what we cannot use.
    async fn read(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let mut buffer = Buffer::default();
        let mut begun = Instant::now();
        loop {
            if buffer.unread().is_empty() {
                match buffer.fill(stream).await {
                    Ok(n) if n > 0 => begun = Instant::now(),
                    _ => return,
                }
            }
            let used = match frames::parse(buffer.unread()) {
                Ok(Some((Frame::Error { words }, _))) => {
                    if let Some(suppressed) = self.log_limiter.permit() {
                        warn!(self.log, "data node could not use a frame"; "words" => words, "suppressed" => suppressed);
                    }
                    return;
                }
                Ok(Some((frame, length))) => {
                    if !self.answered(replica, connection, frame) {
                        self.unusable(connection, "an answer that nobody waits for", &[]);
                        return;
                    }
                    length
                }
                // Guards against a length that promises more than ever comes.
                Ok(None) => match timeout_at(begun + FRAME, buffer.fill(stream)).await {
                    Some(Ok(n)) if n > 0 => continue,
                    Some(_) => return,
                    None => {
                        self.unusable(connection, "a frame that does not end", buffer.unread());
                        return;
                    }
                },
                Err(e) => {
                    self.unusable(connection, e, buffer.unread());
                    return;
                }
            };
            begun = Instant::now();
            buffer.consume(used);
        }
    }

    /// What came cannot be used, nor can the connection from here on. Behind a good answer, with nothing out,
    /// that costs no more than the connection.
    fn unusable(&self, connection: &Connection, error: impl std::fmt::Display, bytes: &[u8]) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "unusable frame from a data node"; "error" => %error, "suppressed" => suppressed,
                "out" => connection.waiting.borrow().len());
        }
        connection.spoil(frames::named(bytes), self.alone());
    }

    /// Hand an answer to who waits for it. An answer to what was given up finds nobody, as is usual; any other
    /// that nobody waits for is spoilt, or one too many: `false`.
    fn answered(&self, replica: ReplicaId, connection: &Connection, frame: Frame<'_>) -> bool {
        let now = Instant::now();
        connection.used.set(now);
        // This one answers: one beside it that does not is at fault itself.
        if let Some(node) = self.nodes.borrow().get(&replica).filter(|n| n.connections.len() > 1) {
            let others = node.connections.iter().filter(|c| !std::ptr::eq(&***c, connection));
            others.for_each(|c| c.hush(now, SILENT));
        }
        let owing = |connection: &Connection| {
            let some = !connection.waiting.borrow().is_empty();
            connection.owes.set(some.then_some(now));
            // A place is free: for a part that waits for one.
            if !connection.queue.borrow().is_empty() {
                connection.wake.notify(usize::MAX);
            }
        };
        match frame {
            Frame::Answer { id, end, score, report, value } => {
                let item = match connection.answered(id, end == frames::End::Served) {
                    Ok(None) => return false,
                    Ok(item) => item,
                    Err(()) => None,
                };
                owing(connection);
                let Some(item) = item else { return true };
                let report = self.report(report);
                let (outcome, value) = match end {
                    // Copied: the value outlives the buffer, until its query is answered.
                    frames::End::Served => {
                        (Outcome::Succeeded, Some(ScoredValue { value: value.into(), score }))
                    }
                    frames::End::Broke => (Outcome::Error, None),
                    frames::End::Skipped if item.carried.turned_away(&item.id, connection) => {
                        (Outcome::Rejected, None)
                    }
                    // The one before may have come twice: this proves nothing.
                    frames::End::Skipped => (Outcome::ConnectionLost, None),
                };
                drop(item.end.0.try_send(AttemptResult { outcome, value, report }));
            }
            Frame::Probe { served } => {
                let Some(done) = connection.probes.borrow_mut().pop_front() else { return false };
                let _ = done.try_send((served, None));
            }
            Frame::Load { report } => {
                let Some(done) = connection.probes.borrow_mut().pop_front() else { return false };
                let _ = done.try_send((report.is_some(), report.and_then(|r| self.report(r))));
            }
            Frame::Error { .. } => {}
        }
        true
    }

    fn report(&self, report: &str) -> Option<LoadReport> {
        let values = self.deployment.report_names.iter().map(|name| frames::reported(report, name));
        (report != "-").then(|| settings::report(&self.deployment.report_fields, values))
    }
}
