//! The events that go into a [`Balancer`](crate::Balancer) and the actions that come out: plain types, no
//! behaviour.
//!
//! One `Balancer` is made for each coordinator. Once a round it is handed the time and the events that
//! came in since the last round, and gives back the actions to carry out, in order. Times are seconds on
//! any clock that only goes forward. Nothing here is told of the transport.
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
//! let settings = Settings { classes: vec![class], cells: 1, reach: 1, ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 42)?;
//!
//! let endpoint = Endpoint {
//!     replica: ReplicaId(7), zone: ZoneId(0), cell: CellId(0), state: EndpointState::Ready,
//!     weight: 1.0, started: None,
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

mod settings;

pub use settings::*;

/// A replica, as discovery names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);
/// A query, as its client's side names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);
/// The number that a query shares with its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryNumber(pub u32);
/// A part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);
/// A shard of the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);
/// A place in the layout; a shard is held by the cells `shard % cells` and the next ones, `reach` in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// Index into [`Settings::tenants`]; ignored where there are none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

impl TenantId {
    /// Of a front that knows no tenants: none that is told, so its queries are in nobody's share.
    pub const NONE: TenantId = TenantId(u16::MAX);
}

/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u8);

/// State of a replica as discovery has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Removed,
}

/// An entry of the list of replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    pub replica: ReplicaId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub state: EndpointState,
    pub weight: f64,
    /// When it last started, if that is known to be not long ago.
    pub started: Option<f64>,
}

/// What kind of news a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last saved, maybe old.
    Cached,
    /// Asking failed or the subscription broke.
    Failed,
}

/// A replica's report of its load; what the deployment does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Parts waiting.
    pub queue_depth: Option<f64>,
    /// Requests held.
    pub in_flight: Option<f64>,
    /// Share of the processor that is busy.
    pub utilization: Option<f64>,
    /// Recent service time without waiting, in seconds.
    pub service_time: Option<f64>,
    /// Requests served a second, of all coordinators together.
    pub rate: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke, and its replica may be no more; it may have run.
    Reset,
    /// The connection is gone, by a fault of its own or of another part's answer, while its replica lives; it
    /// may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Whether the attempt was told to have failed: neither served, nor turned away, nor left without an
    /// answer.
    pub fn failed(self) -> bool {
        !matches!(self, Outcome::Succeeded | Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled)
    }
}

/// What a coordinator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A query; its parts follow in the same round.
    Query {
        query: QueryId,
        number: QueryNumber,
        class: ClassId,
        tenant: TenantId,
        /// How long the client still waits.
        time_left: f64,
        /// Parts of the first step.
        parts: u32,
        /// The client's repeat, where clients mark these.
        is_retry: bool,
    },
    Part {
        part: PartId,
        number: QueryNumber,
        shard: ShardId,
        /// Its share of its step.
        weight: f64,
        /// Attempts that an earlier owner of its query may have made: each may have run and counts among the
        /// part's. Ours are numbered from here on.
        prior_attempts: u8,
        /// An earlier owner had its value in: nothing is sent for it.
        completed: bool,
    },
    Outcome {
        part: PartId,
        attempt: u8,
        replica: ReplicaId,
        /// The part is over.
        part_finished: bool,
        outcome: Outcome,
        elapsed: f64,
        report: Option<LoadReport>,
    },
    /// Its value has begun to go to the client: its other attempts are called off, and there will be no more.
    ResponseStarted {
        part: PartId,
        attempt: u8,
        replica: ReplicaId,
        /// Time to the first of the value.
        elapsed: f64,
    },
    HealthChecked {
        replica: ReplicaId,
        healthy: bool,
        elapsed: f64,
        report: Option<LoadReport>,
    },
    /// The client has left.
    ClientDisconnected {
        query: QueryId,
    },
    Endpoints {
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    },
    Timer,
}

/// What a coordinator does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An attempt of a part; those of a part are numbered in order, from the attempts that were spent before.
    Send {
        part: PartId,
        replica: ReplicaId,
        /// `None`: as long as the client waits.
        timeout: Option<f64>,
    },
    Cancel {
        part: PartId,
        attempt: u8,
    },
    /// End the query, or its first step, with what its parts brought.
    Answer {
        query: QueryId,
        complete: bool,
    },
    /// Send the query back; trying again is harmless.
    Reject {
        query: QueryId,
        retry_after: Option<f64>,
    },
    Fail {
        query: QueryId,
    },
    HealthCheck {
        replica: ReplicaId,
    },
    /// Close our connections to a replica that carry nothing; the next attempt there opens a new one.
    CloseIdle {
        replica: ReplicaId,
    },
    /// Call a round at this time from now.
    Timer {
        after: f64,
    },
    Subscribe,
}
