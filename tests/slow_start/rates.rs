//! The rates that data nodes report: late and noisy.
use std::collections::VecDeque;

use marlgap::balancer::interface::LoadReport;

/// Seconds that a report is late.
const REPORT_DELAY_SECONDS: f64 = 0.3;
/// Seconds over which it counts.
const RATE_WINDOW_SECONDS: f64 = 1.0;

/// When a data node completed parts.
#[derive(Default)]
pub struct Completions(VecDeque<f64>);

impl Completions {
    pub fn record(&mut self, at: f64) {
        self.0.push_back(at);
    }

    /// What it reports, off by up to the noise's deviation times the root of three; `odds` from 0 to 1 says how far.
    pub fn report(&mut self, now: f64, noise: f64, odds: f64) -> LoadReport {
        while self.0.front().is_some_and(|at| *at < now - REPORT_DELAY_SECONDS - RATE_WINDOW_SECONDS) {
            self.0.pop_front();
        }
        let served = self.0.iter().take_while(|at| **at < now - REPORT_DELAY_SECONDS).count() as f64;
        let rate = served / RATE_WINDOW_SECONDS * (1.0 + noise * (2.0 * odds - 1.0) * 3f64.sqrt());
        LoadReport { rate: Some(rate), ..LoadReport::default() }
    }
}
