//! The rates that data nodes report: late and noisy.
use std::collections::VecDeque;

use marlgap::balancer::interface::LoadReport;

/// Seconds that a report is late, and over which it counts.
const DELAY: f64 = 0.3;
const SPAN: f64 = 1.0;

/// When a data node served what.
#[derive(Default)]
pub struct Done(VecDeque<f64>);

impl Done {
    pub fn serve(&mut self, at: f64) {
        self.0.push_back(at);
    }

    /// What it reports, off by up to the noise's deviation times the root of three; `odds` from 0 to 1 says how far.
    pub fn report(&mut self, now: f64, noise: f64, odds: f64) -> LoadReport {
        while self.0.front().is_some_and(|at| *at < now - DELAY - SPAN) {
            self.0.pop_front();
        }
        let served = self.0.iter().take_while(|at| **at < now - DELAY).count() as f64;
        let rate = served / SPAN * (1.0 + noise * (2.0 * odds - 1.0) * 3f64.sqrt());
        LoadReport { rate: Some(rate), ..LoadReport::default() }
    }
}
