//! What the runs measured: rows of points along one axis of size, and what they come to at the target.
use std::time::Duration;

use serde::Serialize;

use crate::fit::Fit;

/// How the command that gives a row begins.
const COMMAND: &str = "cargo bench --bench scale --";

/// What kind of figure a row holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// A count, the same in each run: bytes, messages, entries.
    Exact,
    /// A time, which is the machine's and varies from run to run.
    Time,
}

/// The least of some times, in microseconds: what else the machine did is left out as far as it can be.
pub fn least(times: &[Duration]) -> f64 {
    times.iter().min().map_or(f64::NAN, |t| t.as_secs_f64() * 1e6)
}

/// One figure of one role along one axis of size, all else as the note says.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Whose figure: "coordinator", "data node", "log", ...
    pub role: String,
    pub figure: String,
    /// What the size counts: "data nodes listed", ...
    pub axis: String,
    /// Unit of the values and of the bound.
    pub unit: String,
    pub kind: Kind,
    /// Size and value.
    pub points: Vec<(f64, f64)>,
    /// The operators' size on the axis.
    pub target: f64,
    /// The most that the value may be.
    pub bound: Option<f64>,
    /// The mechanism that carries the figure, by its file.
    pub carried_by: String,
    pub note: String,
}

/// What a row's points come to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fitted {
    /// `None` where no line can be fitted.
    pub fit: Option<Fit>,
    /// The value at the target: the measured one where a point is there, else the line's.
    pub at_target: f64,
    /// Whether the target is a size that was measured.
    pub measured: bool,
    /// How many times the bound that is.
    pub factor: Option<f64>,
    /// The size on the axis from which on the bound is passed: between two points where that was measured, the first
    /// point where all are over it, else the line's.
    pub breaks_at: Option<f64>,
}

impl Row {
    pub fn fitted(&self) -> Fitted {
        let fit = Fit::of(&self.points).ok();
        let there = self.points.iter().find(|p| (p.0 - self.target).abs() <= 1e-9 * self.target.abs());
        let line = fit.map_or(f64::NAN, |f| f.at(self.target));
        let at_target = there.map_or(line, |p| p.1);
        let factor = self.bound.map(|bound| at_target / bound);
        let breaks_at = self.bound.and_then(|bound| self.breaks_at(bound, fit));
        Fitted { fit, at_target, measured: there.is_some(), factor, breaks_at }
    }

    fn breaks_at(&self, bound: f64, fit: Option<Fit>) -> Option<f64> {
        if let Some(first) = self.points.first().filter(|p| p.1 > bound) {
            return Some(first.0);
        }
        let passes = |pair: &&[(f64, f64)]| pair[0].1 <= bound && pair[1].1 > bound;
        if let Some(&[(x, y), (next_x, next_y)]) = self.points.windows(2).find(passes) {
            return Some(x + (next_x - x) * (bound - y) / (next_y - y));
        }
        let last = self.points.last().map_or(0.0, |p| p.0);
        fit.and_then(|f| f.reaches(bound)).filter(|size| *size > last)
    }
}

/// A row, what it comes to, and the run that gave it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    pub run: String,
    pub command: String,
    #[serde(flatten)]
    pub row: Row,
    pub fitted: Fitted,
}

/// All rows of a call of the bench.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Share of the target sizes that was run.
    pub size: f64,
    pub entries: Vec<Entry>,
    #[serde(skip)]
    run: String,
}

impl Report {
    pub fn new(size: f64) -> Report {
        Report { size, ..Report::default() }
    }

    /// Rows from here on are this run's.
    pub fn begin(&mut self, run: &str) {
        run.clone_into(&mut self.run);
    }

    pub fn push(&mut self, row: Row) {
        let size = if self.size == 1.0 { String::new() } else { format!(" --size {}", self.size) };
        let command = format!("{COMMAND} --only {}{size}", self.run);
        let fitted = row.fitted();
        self.entries.push(Entry { run: self.run.clone(), command, row, fitted });
    }

    /// All that the report holds, for a program to read.
    pub fn json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}
