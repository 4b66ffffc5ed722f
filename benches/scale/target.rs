//! The sizes: today's, the operators' in two years, and those on the way between them.

/// A fleet's sizes, and the load of one of its coordinators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizes {
    pub coordinators: f64,
    pub data_nodes: f64,
    /// Parts of a query.
    pub parts: f64,
    /// Queries a second of one coordinator.
    pub queries: f64,
    pub zones: f64,
}

/// The full fleet of today.
pub const TODAY: Sizes =
    Sizes { coordinators: 300.0, data_nodes: 200.0, parts: 35.0, queries: 0.56, zones: 3.0 };
/// The operators' size in two years.
pub const TARGET: Sizes =
    Sizes { coordinators: 1600.0, data_nodes: 11_000.0, parts: 410.0, queries: 212.5, zones: 15.0 };

/// The time in seconds within which 99 answers in 100 are to come; queries are open for as long at the most.
pub const ANSWER_SECONDS: f64 = 0.074;
/// Configuration changes a day, and the seconds in which each is to be in force everywhere.
pub const CHANGES_A_DAY: f64 = 6400.0;
pub const IN_FORCE_SECONDS: f64 = 7.0;
/// What a coordinator may spend on control: cores, bytes of memory, bytes a second.
pub const CONTROL_CORES: f64 = 0.022;
pub const CONTROL_MEMORY: f64 = 64.0 * 1024.0 * 1024.0;
pub const CONTROL_BYTES: f64 = 2048.0;
/// Cores that the work for queries may take: all of it runs on one thread.
pub const DATA_CORES: f64 = 1.0;
/// Callers that a data node takes, the least and the most that is told.
pub const CALLERS: (f64, f64) = (1100.0, 1800.0);
pub const SECONDS_A_DAY: f64 = 86_400.0;

impl Sizes {
    /// Sizes on the way from today's (0) to the target (1), each axis growing by the same share of its own way.
    pub fn on_the_way(t: f64) -> Sizes {
        let between = |from: f64, to: f64| from * (to / from).powf(t);
        Sizes {
            coordinators: between(TODAY.coordinators, TARGET.coordinators),
            data_nodes: between(TODAY.data_nodes, TARGET.data_nodes),
            parts: between(TODAY.parts, TARGET.parts),
            queries: between(TODAY.queries, TARGET.queries),
            zones: between(TODAY.zones, TARGET.zones),
        }
    }

    /// Queries that a coordinator has open at the most, where each takes the time that answers may take.
    pub fn open(&self) -> f64 {
        (self.queries * ANSWER_SECONDS).ceil().max(1.0)
    }

    /// Data nodes of one zone.
    pub fn zone_entries(&self) -> f64 {
        (self.data_nodes / self.zones).round()
    }
}
