//! Follows the list across failures and changes of address: when a watch is started, and how long the watch
//! at the previous address is continued.
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use slog::{info, warn};

use super::source::Source;
use super::watch_policy::{FIRST_LIST_TIMEOUT, MAX_BACKOFF};
use super::{Discovery, DiscoveryError, EndpointList};
use crate::balancer::interface::EndpointUpdate;

/// A watch that runs until it fails.
type RunningWatch<'a> = Pin<Box<dyn Future<Output = DiscoveryError> + 'a>>;

/// Reason for ending a watch.
enum WatchEnd {
    Failed(DiscoveryError),
    Moved(SocketAddr),
}

impl Discovery {
    /// Follows the list; never returns. `known` is the list of an earlier run, which may be outdated.
    ///
    /// If lists are pushed, everything that the agent has counts as notified from the start of this process.
    /// Nothing is sent based on `known` until the agent has answered.
    pub async fn run(self, known: Option<&EndpointList<'_>>) {
        let mut seq = None;
        if let Some(known) = known.filter(|_| !self.policy.is_push) {
            self.apply(known, EndpointUpdate::Cached);
            seq = Some(known.seq);
        }
        let fallback = async {
            Timer::at(Instant::now() + FIRST_LIST_TIMEOUT).await;
            self.start_without_list(known);
            std::future::pending().await
        };
        self.follow(seq).or(self.log_lease()).or(self.log_counts()).or(fallback).await
    }

    /// Proceeds with the known list if none was received in time.
    fn start_without_list(&self, known: Option<&EndpointList<'_>>) {
        if self.coordinator.is_ready() {
            return;
        }
        warn!(self.log, "no list from discovery yet"; "known" => known.map(|list| list.endpoints.len()));
        if let Some(known) = known {
            self.apply(known, EndpointUpdate::Cached);
        }
        self.coordinator.stop_waiting_for_endpoints();
    }

    /// Runs watches forever. A watch is started, or restarted, when the balancer requests it; with an agent
    /// it starts by itself.
    ///
    /// A change of address takes effect immediately, whether a watch is running, has failed or was never
    /// started. The running watch is continued until the new address has answered: what the previous address
    /// has written to it counts as notified, even if it arrives after the change.
    async fn follow(&self, seq: Option<u64>) {
        let subscriptions = self.coordinator.subscriptions();
        let mut source = Rc::new(Source::new(self.first_address, self.generations.advance(), seq));
        let mut previous: Option<RunningWatch> = None;
        let mut moved_to = None;
        let mut start_at = self.policy.is_push.then(Instant::now);
        loop {
            if moved_to.is_none() {
                let start = self.wait_for_start(&subscriptions, start_at);
                moved_to = self.continue_previous(&mut previous).or(start).await;
            }
            if let Some(address) = moved_to.take().filter(|address| *address != source.address) {
                source = self.move_to(address);
            }
            // Answers that have arrived on a watch are applied before it ends.
            let mut running: RunningWatch = Box::pin(self.run_watches(source.clone()));
            let failed = async { WatchEnd::Failed(running.as_mut().await) };
            let moved = async { WatchEnd::Moved(self.moved_elsewhere(&source).await) };
            let end = self.continue_previous(&mut previous).or(failed).or(moved).await;
            match end {
                WatchEnd::Moved(address) => {
                    if self.generations.current_has_answered() {
                        previous = Some(running);
                    } else {
                        // Its first answer may be on its way.
                        self.record_lost_answer(&source, "moved before the first answer");
                    }
                    moved_to = Some(address);
                }
                WatchEnd::Failed(e) => {
                    self.log_watch_end(&source, &e, false);
                    // These requests were made before the watch ended and refer to the watch that was
                    // already started.
                    while subscriptions.try_recv().is_ok() {}
                    self.coordinator.update_endpoints(EndpointUpdate::Failed, Vec::new());
                    start_at = Some(Instant::now() + MAX_BACKOFF);
                }
            }
        }
    }

    /// Switches to another address. Versions of the previous one are not valid there, so the complete list is
    /// requested.
    fn move_to(&self, address: SocketAddr) -> Rc<Source> {
        self.data_nodes.update_lease(|lease| lease.record_move(Instant::now()));
        self.starts.borrow_mut().change_source();
        Rc::new(Source::new(address, self.generations.advance(), None))
    }

    /// Continues the watch at the previous address until the current address has answered or the watch fails.
    /// Never completes.
    async fn continue_previous<T>(&self, previous: &mut Option<RunningWatch<'_>>) -> T {
        if let Some(running) = previous {
            let superseded = async {
                loop {
                    let answered = self.generations.first_answer.listen();
                    if self.generations.current_has_answered() {
                        return;
                    }
                    answered.await;
                }
            };
            let failed = async {
                let error = running.as_mut().await;
                info!(self.log, "watch at the previous address of discovery ended"; "error" => %error);
            };
            superseded.or(failed).await;
        }
        *previous = None;
        std::future::pending().await
    }

    /// Waits until a watch is to start: at `start_at`, at a request of the balancer, or because of a change
    /// of address, which is returned.
    async fn wait_for_start(
        &self,
        subscriptions: &Receiver<()>,
        start_at: Option<Instant>,
    ) -> Option<SocketAddr> {
        let due = async {
            match start_at {
                Some(at) => {
                    Timer::at(at).await;
                }
                None => std::future::pending().await,
            }
        };
        let requested = async {
            let _ = subscriptions.recv().await;
        };
        let started = async {
            due.or(requested).await;
            None
        };
        let moved = async { Some(self.next_address().await) };
        moved.or(started).await
    }

    /// Returns the next configured address, which may equal the current one.
    async fn next_address(&self) -> SocketAddr {
        match self.address_changes.recv().await {
            Ok(address) => address,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the next configured address that differs from the current one.
    async fn moved_elsewhere(&self, source: &Source) -> SocketAddr {
        loop {
            let address = self.next_address().await;
            if address != source.address {
                return address;
            }
        }
    }
}
