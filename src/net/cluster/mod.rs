//! Runs this process as a member of its cluster: maintains the connections to the other members and serves
//! the requests of the query APIs. The protocol state machines are in [`crate::cluster`].
//!
//! For each pair of members there is one connection in each direction. A member writes on the connections
//! that it dials and reads from those that it accepts.
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

/// The retry delay given to clients of a draining member, in seconds. It is short because another member
/// can take the request at once.
const DRAINING_RETRY_AFTER_S: f64 = 0.1;

/// A member of the cluster that runs in this process.
pub struct ClusterNode {
    driver: Rc<Driver>,
    /// Whether each class is protected, indexed by class.
    protected_classes: Vec<bool>,
    draining: Cell<bool>,
    tasks: Cell<Vec<Task<()>>>,
    log: Logger,
}

impl ClusterNode {
    /// Creates a member. It neither listens nor dials before [`ClusterNode::start`] is called.
    pub fn new(config: &ClusterConfig, log: &Logger) -> Rc<ClusterNode> {
        Rc::new(ClusterNode {
            driver: Driver::new(config, log.clone()),
            protected_classes: config.rules.iter().map(Option::is_some).collect(),
            draining: Cell::new(false),
            tasks: Cell::default(),
            log: log.clone(),
        })
    }

    /// Returns the number of file descriptors that a member needs: one for the listener, two for each other
    /// member, and those for pending handshakes.
    pub fn required_descriptors(config: &ClusterConfig) -> usize {
        1 + 2 * config.members.len().saturating_sub(1) + accept::MAX_HANDSHAKES
    }

    /// Sets the executor for the work items that this process owns or takes over. Must be called before
    /// [`ClusterNode::start`].
    pub fn set_executor(&self, executor: Rc<dyn WorkExecutor>) {
        self.driver.set_executor(executor);
    }

    /// Starts accepting connections from the other members and dialling them, until [`ClusterNode::stop`]
    /// is called or the node is dropped.
    pub fn start(&self, listener: Async<TcpListener>, executor: &Rc<LocalExecutor<'static>>) {
        let address = listener.get_ref().local_addr();
        let address = address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
        info!(self.log, "fleet listening"; "member" => %self.driver.member_id(), "address" => %address);
        let driver = || self.driver.clone();
        let mut tasks = vec![executor.spawn(accept::accept(driver(), listener, Rc::downgrade(executor)))];
        for (member, outbox) in self.driver.outboxes() {
            let name = member.id.name.clone();
            tasks.push(executor.spawn(link::maintain(driver(), name, member.address, outbox.clone())));
        }
        tasks.push(executor.spawn(driver().run_timers()));
        self.tasks.set(tasks);
    }

    /// Returns the identity of this member, with its current incarnation.
    pub fn member_id(&self) -> &MemberId {
        self.driver.member_id()
    }

    /// Returns the latest agreed configuration, or `None` before the first one.
    pub fn configuration(&self) -> Option<Configuration> {
        self.driver.configuration()
    }

    /// Returns whether queries of a class are protected.
    pub fn is_protected(&self, class: u16) -> bool {
        self.protected_classes.get(usize::from(class)).is_some_and(|protected| *protected)
    }

    /// Returns the current Unix time in milliseconds on this member's clock, which
    /// [`SubmitRequest::deadline_unix_ms`] refers to.
    pub fn unix_ms(&self) -> u64 {
        self.driver.unix_ms()
    }

    /// Submits a request, which joins the work item with the same id or creates a new one.
    ///
    /// This method is cancel safe: dropping the future ends the wait for the reply, but not the work item.
    pub async fn submit(&self, request: SubmitRequest) -> ClientReply {
        if self.draining.get() {
            return ClientReply::Rejected { retry_after_s: DRAINING_RETRY_AFTER_S };
        }
        let (send, reply) = async_channel::bounded(1);
        let token = self.driver.submit(request, send);
        let _waiting = WaitingClient { driver: self.driver.clone(), token };
        reply.recv().await.unwrap_or(ClientReply::DeadlineExceeded)
    }

    /// Returns the counters of the takeover protocol at this member.
    pub fn counters(&self) -> Counters {
        self.driver.counters()
    }

    /// Returns the number of frames to other members that were dropped because their queue was full or
    /// there was no connection.
    pub fn dropped_frames(&self) -> u64 {
        self.driver.dropped_frames()
    }

    /// Stops all tasks that [`ClusterNode::start`] spawned. The connections of those tasks are closed.
    pub fn stop(&self) {
        drop(self.tasks.take());
        self.driver.remove_executor();
    }

    /// Starts draining: new requests are rejected, and those in progress continue.
    pub fn start_draining(&self) {
        self.draining.set(true);
    }

    /// Waits until this process executes no work items, or until `latest`. Other members take over the work
    /// items that are left. This method is cancel safe.
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

/// A client that is waiting for its reply. Dropping it ends the wait.
struct WaitingClient {
    driver: Rc<Driver>,
    token: ClientToken,
}

impl Drop for WaitingClient {
    fn drop(&mut self) {
        self.driver.remove_client(self.token);
    }
}
