//! What goes between the members of a fleet, and what the fronts ask of it. The decisions are in [`crate::cluster`].
//!
//! A member writes on the connections that it dials and reads from those that it accepts: one each way and pair.
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

/// When a client of a member that ends may come again, in seconds: another one takes it at once.
const ELSEWHERE: f64 = 0.1;

/// This process as a member of its fleet.
pub struct ClusterNode {
    driver: Rc<Driver>,
    /// By class: it is protected.
    protects: Vec<bool>,
    leaving: Cell<bool>,
    tasks: Cell<Vec<Task<()>>>,
    log: Logger,
}

impl ClusterNode {
    /// Nothing is listened to or dialled before [`Fleet::begin`].
    pub fn new(setup: &ClusterConfig, log: &Logger) -> Rc<ClusterNode> {
        let (driver, log) = (Driver::new(setup, log.clone()), log.clone());
        let protects = setup.rules.iter().map(Option::is_some).collect();
        Rc::new(ClusterNode { driver, protects, leaving: Cell::new(false), tasks: Cell::default(), log })
    }

    /// Descriptors that it needs: the listener, two connections for each other member, and those being greeted.
    pub fn descriptors(setup: &ClusterConfig) -> usize {
        1 + 2 * setup.members.len().saturating_sub(1) + accept::GREETING
    }

    /// Who executes the works that this process owns or takes over. Set before [`Fleet::begin`].
    pub fn executes(&self, front: Rc<dyn WorkExecutor>) {
        self.driver.executes(front);
    }

    /// Listen to the other members and dial them, until this is dropped.
    pub fn begin(&self, listener: Async<TcpListener>, executor: &Rc<LocalExecutor<'static>>) {
        let address = listener.get_ref().local_addr();
        let address = address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
        info!(self.log, "fleet listening"; "member" => %self.driver.me(), "address" => %address);
        let driver = || self.driver.clone();
        let mut tasks = vec![executor.spawn(accept::accept(driver(), listener, Rc::downgrade(executor)))];
        for (member, outbox) in self.driver.outboxes() {
            let (name, address) = (member.id.name.clone(), member.address);
            tasks.push(executor.spawn(link::keep(driver(), name, address, outbox.clone())));
        }
        tasks.push(executor.spawn(driver().tick()));
        self.tasks.set(tasks);
    }

    pub fn me(&self) -> &MemberId {
        self.driver.me()
    }

    /// The newest configuration that was agreed, once there is one.
    pub fn configuration(&self) -> Option<Configuration> {
        self.driver.configuration()
    }

    pub fn protects(&self, class: u16) -> bool {
        self.protects.get(usize::from(class)).is_some_and(|p| *p)
    }

    /// Unix milliseconds on this member's clock, as [`Ask::ends`] counts them.
    pub fn unix_ms(&self) -> u64 {
        self.driver.unix_ms()
    }

    /// Ask for a piece of work: led to the one under its id, or begun. Whoever drops this waits no more; the work
    /// goes on.
    pub async fn ask(&self, ask: SubmitRequest) -> ClientReply {
        if self.leaving.get() {
            return ClientReply::Refused { retry_after: ELSEWHERE };
        }
        let (send, reply) = async_channel::bounded(1);
        let token = self.driver.submit(ask, send);
        let _asked = Asked { driver: self.driver.clone(), token };
        reply.recv().await.unwrap_or(ClientReply::DeadlineExceeded)
    }

    pub fn counts(&self) -> Counters {
        self.driver.counts()
    }

    /// Messages to other members that found no room or no connection.
    pub fn dropped(&self) -> u64 {
        self.driver.dropped()
    }

    /// End all that [`Fleet::begin`] began; connections end with it.
    pub fn end(&self) {
        self.tasks.take();
        self.driver.executes_no_more();
    }

    /// Take no new asks from here on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Resolves when nothing is executed here any more, or at `latest`: what is left, others take over.
    pub async fn idle(&self, latest: Instant) {
        let idle = async {
            while self.driver.running() > 0 {
                let listener = self.driver.idle.listen();
                if self.driver.running() > 0 {
                    listener.await;
                }
            }
        };
        timeout_at(latest, idle).await;
    }
}

/// A client that waits.
struct Asked {
    driver: Rc<Driver>,
    token: ClientToken,
}

impl Drop for Asked {
    fn drop(&mut self) {
        self.driver.leave(self.token);
    }
}
