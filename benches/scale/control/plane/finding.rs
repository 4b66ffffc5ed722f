//! What a day or a sweep ends in: typed findings and fitted rows, without any opinion on how they are printed.

/// A bound that a figure is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure stays at or under it.
    Most(f64),
    /// The figure stays at or over it.
    Least(f64),
    /// Told for what it is.
    None,
}

/// One figure of one day.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub day: &'static str,
    pub figure: String,
    pub value: f64,
    pub unit: &'static str,
    pub bound: Bound,
    pub held: bool,
}

impl Finding {
    pub fn new(
        day: &'static str,
        figure: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: Bound,
    ) -> Finding {
        let held = match bound {
            Bound::Most(most) => value <= most,
            Bound::Least(least) => value >= least,
            Bound::None => true,
        };
        Finding { day, figure: figure.into(), value, unit, bound, held }
    }

    /// By how much the figure misses its bound: 1 where it is held.
    pub fn short_by(&self) -> f64 {
        match self.bound {
            Bound::Most(most) if !self.held && most > 0.0 => self.value / most,
            Bound::Least(least) if !self.held && self.value > 0.0 => least / self.value,
            _ if self.held => 1.0,
            _ => f64::INFINITY,
        }
    }
}

/// What a figure is: whose, along which axis, and what it is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    pub role: &'static str,
    pub figure: &'static str,
    pub axis: &'static str,
    pub unit: &'static str,
    /// A count or a virtual time, the same in each run; else a time of this machine's processor.
    pub exact: bool,
    /// The operators' size on the axis.
    pub target: f64,
    /// The most that it may be.
    pub bound: Option<f64>,
    pub carried_by: &'static str,
    pub note: &'static str,
}

/// One figure along one axis, measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    pub spec: Spec,
    /// Size and figure.
    pub points: Vec<(f64, f64)>,
}

/// All figures of a sweep, in the order in which they first came.
#[derive(Clone, Debug, Default)]
pub struct Sweeps(pub Vec<Sweep>);

impl Sweeps {
    /// The figure at one size more.
    pub fn point(&mut self, spec: &Spec, size: f64, value: f64) {
        match self.0.iter_mut().find(|s| s.spec == *spec) {
            Some(sweep) => sweep.points.push((size, value)),
            None => self.0.push(Sweep { spec: *spec, points: vec![(size, value)] }),
        }
    }
}
