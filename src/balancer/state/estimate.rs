//! Online estimators: a value that decays without samples, and the mean and 90th percentile of a
//! stream. Weights and half-lives are supplied by the callers.

/// Parameters of the decay of a [`DecayingAverage`].
#[derive(Clone, Copy, Debug)]
pub struct Decay {
    /// Current time in seconds.
    pub now: f64,
    /// Time in seconds in which the difference to the base halves.
    pub half_life: f64,
    /// The value approached without samples.
    pub base: f64,
}

/// An estimate that decays to a base value without samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingAverage {
    /// The value at the time of the last sample.
    pub value: f64,
    /// Time of the last sample in seconds.
    pub updated_at: f64,
}

impl DecayingAverage {
    /// Returns the fraction of the difference to the base that remains.
    fn remaining_share(&self, decay: Decay) -> f64 {
        0.5f64.powf((decay.now - self.updated_at) / decay.half_life)
    }

    /// Returns the current value.
    pub fn value_at(&self, decay: Decay) -> f64 {
        decay.base + (self.value - decay.base) * self.remaining_share(decay)
    }

    /// Adds a sample. Its weight is the fraction that has decayed since the last sample, but at least
    /// `min_weight` and at most `max_weight`.
    pub fn add_sample(&mut self, sample: f64, decay: Decay, [min_weight, max_weight]: [f64; 2]) {
        let weight = (1.0 - self.remaining_share(decay)).clamp(min_weight, max_weight);
        let before = self.value_at(decay);
        self.value = before + weight * (sample - before);
        self.updated_at = decay.now;
    }
}

/// Mean and 90th percentile of a stream of positive samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct PercentileSpread {
    /// The moving average; 0 before the first sample.
    pub mean: f64,
    /// The moving estimate of the 90th percentile.
    pub p90: f64,
}

impl PercentileSpread {
    /// Adds a sample with the given weight; the percentile estimate moves by at most that fraction
    /// of itself. The first sample sets both values.
    pub fn add_sample(&mut self, sample: f64, weight: f64) {
        if self.mean <= 0.0 {
            *self = PercentileSpread { mean: sample, p90: sample };
        }
        self.mean += weight * (sample - self.mean);
        self.p90 *= 1.0 + weight * p90_step(sample, self.p90);
    }

    /// Returns the ratio of the 90th percentile to the mean; 0 without samples.
    pub fn p90_over_mean(&self) -> f64 {
        self.p90 / self.mean.max(f64::MIN_POSITIVE)
    }
}

/// Returns the relative step that a sample moves a 90th percentile estimate by. The steps balance
/// when a tenth of the samples is above the estimate.
pub fn p90_step(sample: f64, p90: f64) -> f64 {
    if sample < p90 {
        -0.1
    } else {
        0.9
    }
}
