//! Estimates that are updated as samples come in: a value that decays without a sample, and the mean and 90th
//! percentile of a stream. Neither holds a tuned figure: weights and half-lives come from who uses them.

/// How a [`DecayingAverage`] decays, and to what.
#[derive(Clone, Copy, Debug)]
pub struct Decay {
    /// The present time, in seconds.
    pub now: f64,
    /// Seconds in which half of the difference to the base is gone.
    pub half_life: f64,
    /// What the value becomes without a sample.
    pub base: f64,
}

/// A value as last known. Without a sample it decays to a base.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingAverage {
    /// The value as of its last sample.
    pub value: f64,
    /// When that came, in seconds.
    pub updated_at: f64,
}

impl DecayingAverage {
    /// What is left of a difference to the base, as a share.
    fn remaining_share(&self, decay: Decay) -> f64 {
        0.5f64.powf((decay.now - self.updated_at) / decay.half_life)
    }

    /// The value now.
    pub fn value_at(&self, decay: Decay) -> f64 {
        decay.base + (self.value - decay.base) * self.remaining_share(decay)
    }

    /// Take in a sample at the weight of what has decayed since the last one, within the bounds
    /// `[least, most]`.
    pub fn add_sample(&mut self, sample: f64, decay: Decay, [least, most]: [f64; 2]) {
        let weight = (1.0 - self.remaining_share(decay)).clamp(least, most);
        let before = self.value_at(decay);
        self.value = before + weight * (sample - before);
        self.updated_at = decay.now;
    }
}

/// The mean and the 90th percentile of a stream of samples above 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct PercentileSpread {
    /// The moving average; 0 before the first sample.
    pub mean: f64,
    /// The moving estimate of the 90th percentile.
    pub p90: f64,
}

impl PercentileSpread {
    /// Take in a sample at this weight; the percentile moves by that share of itself at most. The first one
    /// sets both.
    pub fn add_sample(&mut self, sample: f64, weight: f64) {
        if self.mean <= 0.0 {
            *self = PercentileSpread { mean: sample, p90: sample };
        }
        self.mean += weight * (sample - self.mean);
        self.p90 *= 1.0 + weight * p90_step(sample, self.p90);
    }

    /// The 90th percentile over the mean; 0 where there is no sample.
    pub fn p90_over_mean(&self) -> f64 {
        self.p90 / self.mean.max(f64::MIN_POSITIVE)
    }
}

/// The direction in which a sample moves an estimate of the 90th percentile: it balances where a tenth of the
/// samples lies above.
pub fn p90_step(sample: f64, p90: f64) -> f64 {
    if sample < p90 {
        -0.1
    } else {
        0.9
    }
}
