//! Compares the loads that the model predicts for the base topology with those that were observed there, and
//! corrects the forecast for the new topology by the difference.
use super::draw::Load;
use super::load::{Loads, MIN_ATTEMPTS};
use super::{ModelFit, Range, MIN_MODEL_ERROR, UNOBSERVED_MODEL_ERROR};
use crate::topology_forecast::{Server, Topology};

impl Loads<'_> {
    /// Returns the factor that converts observed attempts to rates, so that the sum over all servers equals
    /// that of the predicted rates.
    fn scale(&self) -> f64 {
        let observed: u64 = self.to.servers().iter().filter_map(|s| self.demand.servers.get(&s.id.0)).sum();
        self.sum() / observed.max(1) as f64
    }

    /// Compares the predicted loads with the attempts that were observed on this topology. Determines where
    /// the observed loads lie between an even split and the mean-field model, and the greatest error that
    /// remains.
    pub fn fit(&self) -> ModelFit {
        let scale = self.scale();
        let servers = || {
            let comparable = |((s, load), even): ((&Server, &Load), &Range)| {
                let observed = self.demand.servers.get(&s.id.0).copied().unwrap_or(0);
                (observed >= MIN_ATTEMPTS).then_some((observed as f64 * scale, load.rate, even.mid))
            };
            self.to.servers().iter().zip(&self.loads).zip(&self.even).filter_map(comparable)
        };
        let (mut numerator, mut denominator) = (0.0, 0.0);
        for (observed, mean_field, even) in servers() {
            numerator += (observed - even) * (mean_field - even);
            denominator += (mean_field - even) * (mean_field - even);
        }
        let position = if denominator > 0.0 { (numerator / denominator).clamp(0.0, 2.0) } else { 1.0 };
        let error = |(observed, mean_field, even): (f64, f64, f64)| {
            let predicted = even + position * (mean_field - even);
            (observed - predicted).abs() / predicted.max(f64::MIN_POSITIVE)
        };
        match servers().count() {
            0 => ModelFit { position: 1.0, max_error: UNOBSERVED_MODEL_ERROR },
            _ => ModelFit { position, max_error: servers().map(error).fold(MIN_MODEL_ERROR, f64::max) },
        }
    }

    /// Moves the loads to a position on the line from an even split (0) through the mean-field model (1).
    pub fn interpolate(&mut self, position: f64) {
        for (load, even) in self.loads.iter_mut().zip(&self.even) {
            load.rate = (even.mid + position * (load.rate - even.mid)).max(0.0);
        }
    }

    /// Corrects each server's load by the ratio of the observed to the predicted load on the base. The
    /// correction only applies to the share of the load that comes from tiles that the server held there. It
    /// accounts for popular tiles that are in no sketch, and for tiles that are requested together.
    pub fn apply_base_residuals(&mut self, base: &Loads<'_>) {
        let before = self.sum();
        let mut retained_loads = vec![0.0; self.loads.len()];
        for ((tile, part), holders) in self.to.tiles().iter().zip(&self.parts).zip(&self.holders) {
            let own = [tile.tile];
            let from: &[u32] = if tile.from.is_empty() { &own } else { &tile.from };
            for h in holders {
                let Some((retained_load, server)) =
                    retained_loads.get_mut(*h as usize).zip(self.to.servers().get(*h as usize))
                else {
                    continue;
                };
                if from.iter().all(|f| holds(base.to, *f, server)) {
                    *retained_load += part.mid / holders.len() as f64;
                }
            }
        }
        let scale = base.scale();
        for (((load, even), retained_load), server) in
            self.loads.iter_mut().zip(&self.even).zip(retained_loads).zip(self.to.servers())
        {
            let observed = base.demand.servers.get(&server.id.0).copied().unwrap_or(0);
            let predicted = base.to.server(server.id).and_then(|n| base.loads.get(n)).map_or(0.0, |l| l.rate);
            if observed >= MIN_ATTEMPTS && predicted > 0.0 {
                let share = retained_load / even.mid.max(f64::MIN_POSITIVE);
                load.rate *= (1.0 + share * (observed as f64 * scale / predicted - 1.0)).max(0.0);
            }
        }
        // The correction must only redistribute load, so the sum over all servers is restored.
        let after = self.sum();
        let factor = before / after.max(f64::MIN_POSITIVE);
        self.loads.iter_mut().for_each(|l| l.rate *= factor);
    }
}

fn holds(base: &Topology, tile: u32, server: &Server) -> bool {
    base.tile(tile).is_some_and(|t| t.holders.contains(&server.id))
}
