//! The events that a [`Balancer`](crate::Balancer) consumes and the actions that it returns. These
//! are plain data types without behaviour.
//!
//! Each coordinator has one `Balancer`. Every round passes it the current time and the events since
//! the previous round; it returns the actions to carry out, in order. All times and durations are
//! in seconds. Times may come from any clock that never goes backwards. These types are independent
//! of the transport.
//!
//! ```
//! use marlgap::balancer::interface::*;
//! use marlgap::Balancer;
//!
//! let class = Class {
//!     latency_objective: 0.5, deadline: 2.0, priority_weight: 1.0, late_weight: 0.0,
//!     idempotency: Idempotency::Idempotent, target_coverage: 1.0, min_coverage: 1.0,
//!     partial_weight: 1.0, second_step_parts: 0, hedging: true,
//! };
//! let settings = Settings { classes: vec![class], cells: 1, cells_per_shard: 1, ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 42)?;
//!
//! let endpoint = Endpoint {
//!     replica: ReplicaId(7), zone: ZoneId(0), cell: CellId(0), state: EndpointState::Ready,
//!     weight: 1.0, started: None, start_uncertainty: 0.0,
//! };
//! let query = Event::Query {
//!     query: QueryId(1), number: QueryNumber(1), class: ClassId(0), tenant: TenantId(0),
//!     time_left: 2.0, parts: 1, is_retry: false,
//! };
//! let part = Event::Part { part: PartId(2), number: QueryNumber(1), shard: ShardId(0), weight: 1.0,
//!     prior_attempts: 0, completed: false };
//! let listed = Event::Endpoints { update: EndpointUpdate::Full, endpoints: vec![endpoint] };
//! let actions = balancer.round(0.0, &[listed, query, part]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: PartId(2), .. })));
//!
//! let succeeded = Event::Outcome {
//!     part: PartId(2), attempt: 0, replica: ReplicaId(7), part_finished: true, outcome: Outcome::Succeeded,
//!     elapsed: 0.01, report: None,
//! };
//! let actions = balancer.round(0.01, &[succeeded]);
//! assert!(actions.contains(&Action::Answer { query: QueryId(1), complete: true }));
//! # Ok::<(), SettingsError>(())
//! ```

mod ids;
mod settings;

pub use self::ids::{CellId, ClassId, PartId, QueryId, QueryNumber, ReplicaId, ShardId, TenantId, ZoneId};
pub use self::settings::{
    Class, Discovery, Idempotency, LoadReporting, RetryBudget, Settings, SettingsError, SlowStart, Tenant,
};

/// State of a replica as listed by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new parts.
    Ready,
    /// Finishes the parts it has and accepts no new ones.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The replica's id.
    pub replica: ReplicaId,
    /// The zone that the replica runs in.
    pub zone: ZoneId,
    /// The cell, which determines the shards that the replica holds.
    pub cell: CellId,
    /// Whether the replica accepts parts.
    pub state: EndpointState,
    /// Capacity as stated by discovery; not used in any decision.
    pub weight: f64,
    /// Latest possible time of the replica's last start, in seconds; `None` if it started long ago.
    pub started: Option<f64>,
    /// How much earlier than `started` the replica may have started, in seconds; infinite if
    /// unbounded.
    pub start_uncertainty: f64,
}

/// The kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last saved, possibly outdated.
    Cached,
    /// No list: polling failed or the subscription broke.
    Failed,
}

/// A replica's load report; values that the deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of parts waiting in the replica's queue.
    pub queue_depth: Option<f64>,
    /// Number of requests at the replica, waiting or running.
    pub in_flight: Option<f64>,
    /// CPU utilization, from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time excluding queueing, in seconds.
    pub service_time: Option<f64>,
    /// Requests served per second, over all coordinators.
    pub rate: Option<f64>,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The part's value has been received.
    Succeeded,
    /// The replica returned an error; the attempt may have run.
    Error,
    /// The replica rejected the attempt before running it.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    TimedOut,
    /// No connection was established in time; the attempt never ran.
    ConnectFailed,
    /// The connection broke and the replica may have crashed; the attempt may have run.
    Reset,
    /// The connection was lost because of its own fault or the answer to another part, while the
    /// replica is still alive; the attempt may have run.
    ConnectionLost,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Returns whether this is an observed failure. Successes, rejections, timeouts and
    /// cancellations are not.
    pub fn is_failure(self) -> bool {
        !matches!(self, Outcome::Succeeded | Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled)
    }
}

/// Something that happened since the previous round.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new query; its parts follow in the same round.
    Query {
        /// Id of the query in actions.
        query: QueryId,
        /// The number by which parts refer to their query; an open query with the same number is
        /// ended.
        number: QueryNumber,
        /// Class of the query.
        class: ClassId,
        /// The tenant that sent the query.
        tenant: TenantId,
        /// Seconds for which the client will keep waiting.
        time_left: f64,
        /// Number of parts in the first step.
        parts: u32,
        /// Whether this is a client's retry, if clients mark retries.
        is_retry: bool,
    },
    /// A part of an open query, in its first or second step.
    Part {
        /// Id of the part in actions and outcomes.
        part: PartId,
        /// The number of its query.
        number: QueryNumber,
        /// The shard that the part reads.
        shard: ShardId,
        /// Weight of the part within its step, from 0 to 1.
        weight: f64,
        /// Attempts that an earlier owner of the query may have made. Each may have run and counts
        /// as one of the part's attempts; new attempts are numbered after them.
        prior_attempts: u8,
        /// Whether an earlier owner already received the part's value; nothing is sent for it then.
        completed: bool,
    },
    /// An attempt ended.
    Outcome {
        /// The part of the attempt.
        part: PartId,
        /// The attempt's number within its part.
        attempt: u8,
        /// The replica that the attempt was sent to.
        replica: ReplicaId,
        /// Whether the part is finished as well, so that nothing more may be sent for it.
        part_finished: bool,
        /// The result of the attempt.
        outcome: Outcome,
        /// Seconds since the attempt was sent.
        elapsed: f64,
        /// The load report that came with the answer, if any.
        report: Option<LoadReport>,
    },
    /// The value of a part has started to stream to the client. The part's other attempts are
    /// cancelled and no new ones are made.
    ResponseStarted {
        /// The part.
        part: PartId,
        /// The number of the attempt that delivers the value.
        attempt: u8,
        /// The replica that the attempt was sent to.
        replica: ReplicaId,
        /// Seconds from sending the attempt to the first byte of the value.
        elapsed: f64,
    },
    /// A health check ended.
    HealthChecked {
        /// The replica that was checked.
        replica: ReplicaId,
        /// Whether the replica reported itself healthy.
        healthy: bool,
        /// Seconds since the health check was sent.
        elapsed: f64,
        /// The load report that came with the answer, if any.
        report: Option<LoadReport>,
    },
    /// The client of a query has disconnected; the query is dropped.
    ClientDisconnected {
        /// The query.
        query: QueryId,
    },
    /// An endpoint list was received, or the attempt to get one failed.
    Endpoints {
        /// The kind of update.
        update: EndpointUpdate,
        /// The entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A timer requested by [`Action::Timer`] fired.
    Timer,
}

/// An instruction to the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part. Attempts of a part are numbered consecutively, after those of an
    /// earlier owner.
    Send {
        /// The part.
        part: PartId,
        /// The target replica.
        replica: ReplicaId,
        /// Timeout in seconds; `None` to wait as long as the client does.
        timeout: Option<f64>,
    },
    /// Cancel an attempt; its outcome must still be reported.
    Cancel {
        /// The part of the attempt.
        part: PartId,
        /// The attempt's number within its part.
        attempt: u8,
    },
    /// Answer the query, or end its first step, with the values received so far.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// Reject the query; the client may safely retry it.
    Reject {
        /// The query.
        query: QueryId,
        /// Seconds after which the client should retry, for clients that honour Retry-After (RFC
        /// 9110).
        retry_after: Option<f64>,
    },
    /// Fail the query; retrying it might run it twice.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Send a health check to a replica, to learn its health and load.
    HealthCheck {
        /// The replica.
        replica: ReplicaId,
    },
    /// Close this coordinator's idle connections to a replica; the next attempt opens a new one.
    CloseIdle {
        /// The replica.
        replica: ReplicaId,
    },
    /// Run a round after `after` seconds at the latest.
    Timer {
        /// Delay from now, in seconds.
        after: f64,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
}
