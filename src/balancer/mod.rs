//! All decisions of a coordinator: which replicas get a part, when it is retried or hedged, which queries are
//! admitted, and how each query ends. Types, events and actions: `src/balancer/interface.rs`; what is
//! retained between rounds: `src/balancer/state/`.
//!
//! The ordinary path is NetClone's (`docs/design.md`): choose two replicas of a shard at random; if both are
//! idle, send to both, and the first answer wins; else send to the one with the shorter queue. The rest acts
//! through who may be chosen and how ties are broken:
//!
//! - which replicas: `replica_selection.rs`, `slow_start.rs`, `outlier_detection.rs`, `zone_health.rs`,
//!   `endpoints.rs`, `health_checks.rs`
//! - which attempts: `attempts.rs`, `retry_budget.rs`, `idle_connections.rs`, `outcomes.rs`
//! - which queries: `admission.rs`, `concurrency_limit.rs`, `query_of_death.rs`, `query_progress.rs`
//! - on what figures: `latency.rs`; `bookkeeping.rs` brings indexes up to date and decides nothing
//!
//! The module never reads a clock, a socket or a file: time and events come in, actions go out. The same
//! settings, seed and events give the same actions, bit by bit, which recorded streams check
//! (`tests/recorded.rs`): the order of random draws, of sums and of iteration is a part of its contract.
//! Counting in a [`SlidingWindow`] drops older events, so the order of such counts belongs to it too.
#![warn(missing_docs)]

mod admission;
mod attempts;
mod bookkeeping;
mod concurrency_limit;
mod endpoints;
mod health_checks;
mod idle_connections;
pub mod interface;
mod latency;
mod outcomes;
mod outlier_detection;
mod query_of_death;
mod query_progress;
mod replica_selection;
mod retry_budget;
mod slow_start;
pub mod state;
mod zone_health;

use std::collections::BTreeMap;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::endpoints::INITIAL_BACKOFF_SECONDS;
use self::interface::{Action, Class, Event, PartId, QueryNumber, ReplicaId, Settings, SettingsError};
pub use self::latency::query_time_factor;
use self::retry_budget::DEFAULT_RETRY_BUDGET;
#[cfg(doc)]
use self::state::SlidingWindow;
use self::state::{
    validate, ConcurrencyLimit, InFlightIndex, LatencyEstimates, OpenQueries, Part, Query, RecentActivity,
    Replica, ReplicaIndex, ReplicaStats,
};

/// Seconds that 'recent' means for clones, retries, rates and tenants: long enough to average a burst.
pub(crate) const RECENT_SECONDS: f64 = 5.0;
/// Seconds after which a load report is stale: its replica counts at the mean load and not as idle.
pub(crate) const STALE_AFTER_SECONDS: f64 = 2.0;
/// Seconds between our sends to one replica from which on replicas can't be judged one by one.
const SPARSE_INTERVAL_SECONDS: f64 = 3.0;
/// A part is hedged after this many times the 90th percentile of recent response times.
pub(crate) const HEDGE_AFTER_P90S: f64 = 1.2;
/// Seconds between visits to open parts.
const SWEEP_INTERVAL_SECONDS: f64 = 0.02;
/// Least seconds before a client's deadline to answer it.
const DEADLINE_MARGIN_SECONDS: f64 = 0.01;
/// Weight of the newest sample in slow averages, and step of the 90th percentile as a share of itself.
pub(crate) const SLOW_AVERAGE_WEIGHT: f64 = 0.05;

/// The decisions of one coordinator.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    /// The time of this round, in seconds; it never goes back.
    pub(crate) now: f64,
    /// The time of the first round; negative infinity before it.
    pub(crate) started_at: f64,
    /// Seconds before a client's deadline in which its answer must go out.
    pub(crate) answer_margin: f64,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) replica_stats: ReplicaStats,
    pub(crate) replica_index: ReplicaIndex,
    pub(crate) in_flight: InFlightIndex,
    pub(crate) open_queries: OpenQueries,
    pub(crate) queries: BTreeMap<QueryNumber, Query>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) recent: RecentActivity,
    pub(crate) latency: LatencyEstimates,
    pub(crate) concurrency: ConcurrencyLimit,
    /// When open parts were last visited on a timer of ours.
    pub(crate) swept_at: f64,
    /// Seconds to wait before the next renewal of a broken subscription.
    pub(crate) resubscribe_backoff: f64,
    /// When to renew the subscription, if it is broken.
    pub(crate) resubscribe_at: Option<f64>,
    /// The actions of this round so far.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A coordinator that knows no replica yet. All its random draws come from `seed`.
    ///
    /// # Errors
    ///
    /// Settings that no coordinator could run with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let objective = settings.classes.iter().map(|c| c.latency_objective).fold(f64::MAX, f64::min);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            started_at: f64::NEG_INFINITY,
            answer_margin: DEADLINE_MARGIN_SECONDS + 2.0 * settings.round_interval,
            replicas: BTreeMap::new(),
            replica_stats: ReplicaStats::default(),
            replica_index: ReplicaIndex::default(),
            in_flight: InFlightIndex::default(),
            open_queries: OpenQueries::default(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            recent: RecentActivity::default(),
            latency: LatencyEstimates {
                mean: objective / 10.0,
                p90: objective / 5.0,
                ..LatencyEstimates::default()
            },
            concurrency: ConcurrencyLimit::default(),
            swept_at: f64::NEG_INFINITY,
            resubscribe_backoff: INITIAL_BACKOFF_SECONDS,
            resubscribe_at: None,
            actions: Vec::new(),
            settings,
        })
    }

    /// Adds classes behind those that are there, whose numbers stay.
    ///
    /// # Errors
    ///
    /// Classes that no coordinator could run with; the settings stay as they were.
    pub fn add_classes(&mut self, classes: &[Class]) -> Result<(), SettingsError> {
        let mut settings = self.settings.clone();
        settings.classes.extend_from_slice(classes);
        validate(&settings)?;
        self.settings = settings;
        Ok(())
    }

    /// Takes the events since the last round, in order, and decides.
    ///
    /// `now` is in seconds on any clock; a time before that of the last round counts as the latter. Returns
    /// the actions to carry out, in order.
    pub fn round(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        if self.started_at == f64::NEG_INFINITY {
            self.started_at = now;
            self.resubscribe_at = Some(now);
        }
        self.now = self.now.max(now);
        self.replica_stats.sends_this_round.clear();
        for event in events {
            self.handle_event(event);
        }
        let budget = self.settings.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET);
        let window = budget.window.max(RECENT_SECONDS) + 2.0 * self.settings.round_interval;
        self.recent.trim(self.now - window);
        self.update_replica_stats();
        self.renew_subscription();
        self.detect_unresponsive();
        self.admit_queries();
        self.visit_queries();
        self.send_health_check();
        let sweep_is_due = self.now + DEADLINE_MARGIN_SECONDS >= self.swept_at + SWEEP_INTERVAL_SECONDS;
        if !self.queries.is_empty() && sweep_is_due {
            self.swept_at = self.now;
            self.actions.push(Action::Timer { after: SWEEP_INTERVAL_SECONDS });
        }
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: &Event) {
        match *event {
            Event::Endpoints { update, ref endpoints } => self.update_endpoints(update, endpoints),
            Event::Query { .. } => self.accept_query(event),
            Event::Part { .. } => self.accept_part(event),
            Event::Outcome { part, .. } => self.handle_outcome(part, event),
            Event::ResponseStarted { part, .. } => self.handle_response_started(part, event),
            // A health check that failed may have waited behind parts: no proof of a bad replica.
            Event::HealthChecked { replica, report, .. } => self.record_load_report(replica, report),
            Event::ClientDisconnected { query } => self.handle_client_disconnected(query),
            Event::Timer => {}
        }
    }

    /// The figures on all replicas that the decisions of this round go by.
    fn update_replica_stats(&mut self) {
        let now = self.now;
        let ramp = self.settings.slow_start.map_or(0.0, |rule| rule.ramp);
        self.replica_index
            .expire(|reported_at| now - reported_at >= STALE_AFTER_SECONDS, |start| now - start >= ramp);
        self.replica_stats.mean_load = self.replica_index.mean_load();
        self.replica_stats.warm = self.replica_index.warm_count().max(1) as f64;
        self.accrue_credit();
        self.replica_stats.send_interval = self.send_interval();
        self.replica_stats.sparse_since_start = self.replica_stats.send_interval > SPARSE_INTERVAL_SECONDS;
        self.replica_stats.sparse =
            now > self.started_at + RECENT_SECONDS && self.replica_stats.sparse_since_start;
        let overdue_before = now - self.latency.mean;
        let overdue = if self.latency.last_success_at < overdue_before {
            self.in_flight.replicas_overdue(overdue_before) as f64
        } else {
            0.0
        };
        self.replica_stats.stalled = overdue > 2.0 && 2.0 * overdue > self.replica_stats.ready;
    }
}
