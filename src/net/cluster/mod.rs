//! This process as a member of its cluster: connections to the other members, and what the query APIs ask of
//! the cluster. The decisions are in [`crate::cluster`].
//!
//! A member writes on the connections that it dials and reads from those that it accepts: one each way and
//! pair.
mod accept;
mod clock;
mod driver;
pub mod execution;
pub mod frames;
mod link;
mod outbox;
pub mod store;

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

use async_executor::{LocalExecutor, Task};
use async_io::Async;
use slog::{info, Logger};

use self::driver::Driver;
pub use self::execution::{ExecutionHandle, WorkExecutor};
use super::timeout_at;
use crate::cluster::takeover::{ClientReply, ClientToken, Counters, SubmitRequest};
use crate::cluster::{Configuration, MemberId};
use crate::config::operator::ClusterConfig;

/// When a client of a member that is draining may retry, in seconds: another member takes it at once.
const DRAINING_RETRY_AFTER_S: f64 = 0.1;

/// This process as a member of its cluster.
pub struct ClusterNode {
    driver: Rc<Driver>,
    /// By class: whether it is protected.
    protected_classes: Vec<bool>,
    draining: Cell<bool>,
    tasks: Cell<Vec<Task<()>>>,
    log: Logger,
}

impl ClusterNode {
    /// A member that neither listens nor dials before [`ClusterNode::start`].
    pub fn new(config: &ClusterConfig, log: &Logger) -> Rc<ClusterNode> {
        Rc::new(ClusterNode {
            driver: Driver::new(config, log.clone()),
            protected_classes: config.rules.iter().map(Option::is_some).collect(),
            draining: Cell::new(false),
            tasks: Cell::default(),
            log: log.clone(),
        })
    }

    /// The descriptors that it needs: the listener, two connections for each other member, and handshakes.
    pub fn required_descriptors(config: &ClusterConfig) -> usize {
        1 + 2 * config.members.len().saturating_sub(1) + accept::MAX_HANDSHAKES
    }

    /// Who executes the work items that this process owns or takes over. To be set before
    /// [`ClusterNode::start`].
    pub fn set_executor(&self, executor: Rc<dyn WorkExecutor>) {
        self.driver.set_executor(executor);
    }

    /// Listens to the other members and dials them, until [`ClusterNode::stop`] or this is dropped.
    pub fn start(&self, listener: Async<TcpListener>, executor: &Rc<LocalExecutor<'static>>) {
        let address = listener.get_ref().local_addr();
        let address = address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
        info!(self.log, "fleet listening"; "member" => %self.driver.member_id(), "address" => %address);
        let driver = || self.driver.clone();
        let mut tasks = vec![executor.spawn(accept::accept(driver(), listener, Rc::downgrade(executor)))];
        for (member, outbox) in self.driver.outboxes() {
            let name = member.id.name.clone();
            tasks.push(executor.spawn(link::keep(driver(), name, member.address, outbox.clone())));
        }
        tasks.push(executor.spawn(driver().run_timers()));
        self.tasks.set(tasks);
    }

    /// This member, in its present incarnation.
    pub fn member_id(&self) -> &MemberId {
        self.driver.member_id()
    }

    /// The newest configuration that was agreed, once there is one.
    pub fn configuration(&self) -> Option<Configuration> {
        self.driver.configuration()
    }

    /// Whether queries of this class are protected.
    pub fn is_protected(&self, class: u16) -> bool {
        self.protected_classes.get(usize::from(class)).is_some_and(|protected| *protected)
    }

    /// Unix milliseconds on this member's clock, as [`SubmitRequest::deadline_unix_ms`] counts them.
    pub fn unix_ms(&self) -> u64 {
        self.driver.unix_ms()
    }

    /// Submits a request: it joins the work item under its id, or opens one.
    ///
    /// Cancel safe: dropping the future only stops the wait, the work item continues.
    pub async fn submit(&self, request: SubmitRequest) -> ClientReply {
        if self.draining.get() {
            return ClientReply::Rejected { retry_after_s: DRAINING_RETRY_AFTER_S };
        }
        let (send, reply) = async_channel::bounded(1);
        let token = self.driver.submit(request, send);
        let _waiting = WaitingClient { driver: self.driver.clone(), token };
        reply.recv().await.unwrap_or(ClientReply::DeadlineExceeded)
    }

    /// Counts of the takeover protocol at this member.
    pub fn counters(&self) -> Counters {
        self.driver.counters()
    }

    /// Frames to other members that found no place or no connection.
    pub fn dropped_frames(&self) -> u64 {
        self.driver.dropped_frames()
    }

    /// Ends all that [`ClusterNode::start`] began; the connections are closed.
    pub fn stop(&self) {
        drop(self.tasks.take());
        self.driver.remove_executor();
    }

    /// Rejects new requests from here on; those in progress continue.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Resolves when nothing is executed here any more, or at `latest`: other members take over what is left.
    /// Cancel safe.
    pub async fn wait_until_idle(&self, latest: Instant) {
        let idle = async {
            while self.driver.running_executions() > 0 {
                let ended = self.driver.execution_ended();
                if self.driver.running_executions() > 0 {
                    ended.await;
                }
            }
        };
        timeout_at(latest, idle).await;
    }
}

/// A client that waits for its reply; dropping it ends the wait.
struct WaitingClient {
    driver: Rc<Driver>,
    token: ClientToken,
}

impl Drop for WaitingClient {
    fn drop(&mut self) {
        self.driver.remove_client(self.token);
    }
}
