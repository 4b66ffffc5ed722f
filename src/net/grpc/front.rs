//! The gRPC front: clients' connections and the calls on them. Each call runs in a separate task
//! from its headers to its final status, and only that task reads the call's request and writes its response.
mod call;
mod checks;
mod connection;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_executor::LocalExecutor;
use rand_pcg::Pcg64Mcg;
use slog::Logger;

use super::replay::ReplayBudget;
use super::servers::Servers;
use crate::config::operator::FrontLimits;
use crate::config::settings::Deployment;
use crate::coordinator::Coordinator;
use crate::grpc_routing::RouteTable;
use crate::net::http_server::GracefulShutdown;
use crate::net::memory_budget::MemoryBudget;
use crate::net::LogRateLimiter;

/// The time limit for sending the last frames of a connection, and for the messages of a health check.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration that a reload on SIGHUP replaces as a whole. A call keeps the configuration with which
/// it started.
pub struct RoutingConfig {
    pub routes: RouteTable,
    /// The settings, including the classes that were derived for these routes.
    pub deployment: Deployment,
}

/// The gRPC front: the state that all of its connections share.
pub struct Front {
    pub coordinator: Rc<Coordinator<Servers>>,
    pub servers: Rc<Servers>,
    pub routing: ArcSwap<RoutingConfig>,
    pub limits: FrontLimits,
    pub replay_budget: ReplayBudget,
    /// Memory for calls that clients have not sent completely.
    pub memory: Rc<MemoryBudget>,
    pub shutdown: Rc<GracefulShutdown>,
    /// The number of open calls by the pattern of their route, for routes that limit it.
    pub open_calls: RefCell<BTreeMap<String, usize>>,
    pub rng: RefCell<Pcg64Mcg>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub log: Logger,
    pub log_limiters: LogLimiters,
}

/// Rate limiters for log lines, one for each kind of line.
#[derive(Default)]
pub struct LogLimiters {
    invalid: LogRateLimiter,
    flood: LogRateLimiter,
    rejected: LogRateLimiter,
    unanswered: LogRateLimiter,
    disconnected: LogRateLimiter,
}

/// Counts a call as open, until this is dropped, on a route that limits the number of open calls.
struct OpenRouteCall<'f>(&'f Front, &'f str);

impl Drop for OpenRouteCall<'_> {
    fn drop(&mut self) {
        if let Some(n) = self.0.open_calls.borrow_mut().get_mut(self.1) {
            *n -= 1;
        }
    }
}

/// Converts seconds to a duration for timers. A value out of range becomes a day.
fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(86_400))
}
