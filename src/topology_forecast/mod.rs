//! Forecasts the load and latency under a new topology of shards before coordinators adopt it, and compares
//! the forecast with what is observed afterwards. The module holds decisions and state only: events and times
//! are passed in, figures and verdicts are returned. It does no I/O, and reads no clock and no randomness.
//!
//! Each coordinator records its own [`demand`] in bounded tables, and produces one [`Report`] per window. A
//! [`DemandCollection`] counts the report of each (member, incarnation, window) once. A [`mod@forecast`]
//! applies the collected demand to the proposed [`Topology`]. [`plan`] takes the topology through the
//! replicated log to adoption, and reverts it once if the forecast was wrong.
pub mod demand;
pub mod demand_collection;
pub mod forecast;
pub mod plan;
pub mod plan_file;
pub mod report;
pub mod sketch;
pub mod topology;

use serde::Serialize;

pub use demand::{AttemptKind, DemandLimits, DemandRecorder, QueryArrival, RequestedTiles};
pub use demand_collection::{CollectionError, Coverage, Demand, DemandCollection};
pub use forecast::{forecast, ForecastInputs, Observation};
pub use plan_file::{parse_plan, PlanFile, PlanFileError};
pub use report::{Report, ReportError};
pub use topology::{Server, Tile, Topology, TopologyError};

/// An estimate with the range in which the true value is expected. How the ends are determined is documented
/// at each figure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Range {
    /// The lower end of the range.
    pub low: f64,
    /// The estimate.
    pub mid: f64,
    /// The upper end of the range.
    pub high: f64,
}

impl Range {
    /// Returns the range of a figure that is known exactly.
    pub fn exact(n: f64) -> Range {
        Range { low: n, mid: n, high: n }
    }

    /// Returns the range of this figure multiplied by a factor.
    pub fn scale_by(self, by: f64) -> Range {
        Range { low: self.low * by, mid: self.mid * by, high: self.high * by }
    }

    /// Returns the range of the sum, without assuming that the figures are independent.
    pub fn plus(self, other: Range) -> Range {
        Range { low: self.low + other.low, mid: self.mid + other.mid, high: self.high + other.high }
    }

    /// Returns the range widened at both ends by a share of their values. The lower end does not go below 0.
    pub fn widen(self, share: f64) -> Range {
        Range { low: self.low * (1.0 - share).max(0.0), mid: self.mid, high: self.high * (1.0 + share) }
    }

    /// Returns whether a figure lies in the range.
    pub fn contains(self, n: f64) -> bool {
        self.low <= n && n <= self.high
    }
}
