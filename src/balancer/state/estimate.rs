//! Estimates that are kept as samples come in: a value that fades without news, and the mean and 90th
//! percentile of a stream. Neither holds a tuned figure: weights and half-lives are told by who uses them.

/// A value as last known. Without news it fades: half of what sets it off from its base is gone each
/// half-life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    pub value: f64,
    /// When it was last known.
    pub at: f64,
}

impl Fading {
    /// What is left of a difference to the base, as a share.
    fn left(&self, now: f64, half_life: f64) -> f64 {
        0.5f64.powf((now - self.at) / half_life)
    }

    /// The value now.
    pub fn now(&self, now: f64, half_life: f64, base: f64) -> f64 {
        base + (self.value - base) * self.left(now, half_life)
    }

    /// Take in a sample at the weight of what has faded since the last one, within these bounds.
    pub fn take(&mut self, sample: f64, (now, half_life, base): (f64, f64, f64), weights: [f64; 2]) {
        let weight = (1.0 - self.left(now, half_life)).clamp(weights[0], weights[1]);
        let before = self.now(now, half_life, base);
        *self = Fading { value: before + weight * (sample - before), at: now };
    }
}

/// The mean and the 90th percentile of a stream of samples above 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    pub mean: f64,
    pub upper: f64,
}

impl Spread {
    /// Take in a sample at this weight; the percentile moves by that share of itself at most. The first one
    /// is both.
    pub fn take(&mut self, sample: f64, weight: f64) {
        if self.mean <= 0.0 {
            *self = Spread { mean: sample, upper: sample };
        }
        self.mean += weight * (sample - self.mean);
        self.upper *= 1.0 + weight * if sample < self.upper { -0.1 } else { 0.9 };
    }

    /// The 90th percentile over the mean; 1 where there is none.
    pub fn ratio(&self) -> f64 {
        self.upper / self.mean.max(f64::MIN_POSITIVE)
    }
}
