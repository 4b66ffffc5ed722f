//! Foresight: what a new topology would cost, said before coordinators adopt it, and held against what is seen after.
//! Decisions and state alone: events and time come in, figures and verdicts go out; no input, output, clock or
//! randomness.
//!
//! Each coordinator keeps its own [`demand`] in bounded tables and closes a [`Report`] a window. A [`Gathered`] set of
//! reports counts each (member, incarnation, window) once. A [`forecast`] plays the demand on the proposed
//! [`Topology`]; [`plan`] leads it through the log to adoption, and back once if it was wrong.
pub mod demand;
pub mod demand_collection;
pub mod file;
pub mod forecast;
pub mod plan;
pub mod report;
pub mod sketch;
pub mod topology;

use serde::Serialize;

pub use demand::{Asked, Asks, Keeper, Limits, Sent};
pub use demand_collection::{Coverage, Demand, GatherError, Gathered};
pub use file::{parse, Plan, PlanError};
pub use forecast::{forecast, Given, Seen};
pub use report::{Report, ReportError};
pub use topology::{Server, Tile, Topology, TopologyError};

/// A figure with what it may lie between. How the ends come about stands beside each figure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Range {
    pub low: f64,
    pub mid: f64,
    pub high: f64,
}

impl Range {
    pub fn exact(n: f64) -> Range {
        Range { low: n, mid: n, high: n }
    }

    pub fn times(self, by: f64) -> Range {
        Range { low: self.low * by, mid: self.mid * by, high: self.high * by }
    }

    pub fn plus(self, other: Range) -> Range {
        Range { low: self.low + other.low, mid: self.mid + other.mid, high: self.high + other.high }
    }

    /// Wider by a share of itself at both ends.
    pub fn give(self, share: f64) -> Range {
        Range { low: self.low * (1.0 - share).max(0.0), mid: self.mid, high: self.high * (1.0 + share) }
    }

    pub fn holds(self, n: f64) -> bool {
        self.low <= n && n <= self.high
    }
}
