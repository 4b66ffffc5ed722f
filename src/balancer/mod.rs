//! All decisions of a coordinator: which replicas a part is sent to, when it is retried or hedged,
//! which queries are admitted, and how each query ends. The types of events and actions are in
//! `src/balancer/interface.rs`; the state kept between rounds is in `src/balancer/state/`.
//!
//! The basic algorithm is NetClone's (`docs/design.md`): choose two replicas of a shard at random.
//! If both are idle, send to both and use the first answer; otherwise send to the one with the
//! shorter queue. The remaining rules limit which replicas are eligible and break ties:
//!
//! - choice of replicas: `replica_selection.rs`, `slow_start.rs`, `outlier_detection.rs`,
//!   `zone_health.rs`, `endpoints.rs`, `health_checks.rs`
//! - attempts: `attempts.rs`, `retry_budget.rs`, `idle_connections.rs`, `outcomes.rs`
//! - queries: `admission.rs`, `concurrency_limit.rs`, `query_of_death.rs`, `query_progress.rs`
//! - measurements: `latency.rs`; `bookkeeping.rs` maintains the indexes and makes no decisions
//!
//! The module reads no clock, socket or file: time and events are inputs, actions are outputs. The
//! same settings, seed and events yield bit-identical actions, which `tests/recorded.rs` verifies
//! with recorded event streams. The order of random draws, summation and iteration is therefore
//! part of the module's contract. So is the order of counts over a [`SlidingWindow`], because
//! counting drops older events.
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

/// The span, in seconds, that counts as recent for clones, retries, rates and tenants; long enough
/// to average out bursts.
pub(crate) const RECENT_SECONDS: f64 = 5.0;
/// Age, in seconds, at which a load report is stale. A replica with a stale report counts with the
/// mean load and not as idle.
pub(crate) const STALE_AFTER_SECONDS: f64 = 2.0;
/// Mean interval, in seconds, between sends to one replica from which traffic is sparse: replicas
/// can then no longer be judged individually.
const SPARSE_INTERVAL_SECONDS: f64 = 3.0;
/// Hedge delay as a multiple of the 90th percentile of recent response times.
pub(crate) const HEDGE_AFTER_P90S: f64 = 1.2;
/// Interval between periodic visits to open parts, in seconds.
const SWEEP_INTERVAL_SECONDS: f64 = 0.02;
/// Minimum time between an answer and its client's deadline, in seconds.
const DEADLINE_MARGIN_SECONDS: f64 = 0.01;
/// Weight of the newest sample in slow averages, and step size of the 90th percentile estimate as a
/// fraction of itself.
pub(crate) const SLOW_AVERAGE_WEIGHT: f64 = 0.05;

/// Makes all decisions of one coordinator.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    /// Time of the current round in seconds; never decreases.
    pub(crate) now: f64,
    /// Time of the first round; negative infinity before it.
    pub(crate) started_at: f64,
    /// How long before a client's deadline its answer must be sent, in seconds.
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
    /// When open parts were last visited by the periodic timer.
    pub(crate) swept_at: f64,
    /// Backoff before the next renewal of a broken subscription, in seconds.
    pub(crate) resubscribe_backoff: f64,
    /// When to renew the subscription, if it is broken.
    pub(crate) resubscribe_at: Option<f64>,
    /// Actions of the current round so far.
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer that knows no replicas yet. All its random draws derive from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if no coordinator could run with the settings.
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

    /// Appends query classes; the indexes of existing classes do not change.
    ///
    /// # Errors
    ///
    /// Returns an error if no coordinator could run with the classes; the settings are unchanged
    /// then.
    pub fn add_classes(&mut self, classes: &[Class]) -> Result<(), SettingsError> {
        let mut settings = self.settings.clone();
        settings.classes.extend_from_slice(classes);
        validate(&settings)?;
        self.settings = settings;
        Ok(())
    }

    /// Processes the events since the previous round, in order, and returns the actions to carry
    /// out, in order.
    ///
    /// `now` is in seconds on any clock; a time before the previous round's is treated as equal to
    /// it.
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
            // A failed health check does not prove a bad replica: it may have queued behind parts.
            Event::HealthChecked { replica, report, .. } => self.record_load_report(replica, report),
            Event::ClientDisconnected { query } => self.handle_client_disconnected(query),
            Event::Timer => {}
        }
    }

    /// Updates the statistics over all replicas that this round's decisions depend on.
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
