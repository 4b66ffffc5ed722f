//! Models how parts are distributed over the holders of their tiles by the power of two choices. Two of a
//! tile's holders are drawn at random for each part, which goes to the one with the shorter queue. The
//! decision module does the same, unless it has a reason to avoid one of the two.
//!
//! This is a mean-field model, which assumes that queues are independent. Each queue is a birth-death chain
//! whose arrival rate depends on its own length through the probability that the other drawn queue is longer.
//! The model is solved by iteration until the loads converge. The simpler assumption of an even split over
//! the holders gives errors of tens of percent where a busy tile shares a server with idle ones. This model
//! does not, as the simulated clusters in `tests/topology_forecast` show.
use std::collections::BTreeMap;

/// The number of queue lengths that are distinguished. At a utilization of 0.95, a queue with random arrivals
/// would exceed this length in one of 5 cases. If each part goes to the shorter of two queues, it hardly ever
/// does.
const QUEUE_LENGTHS: usize = 32;
/// The change of a load, as a share of it, below which the iteration has converged.
const CONVERGED: f64 = 1e-3;
/// The most iterations, after which the loads are used even if they have not converged.
const MAX_ROUNDS: usize = 60;

/// The rates of parts per second, by the servers between which the decision module chooses.
#[derive(Clone, Debug, Default)]
pub struct ReplicaChoices {
    /// Rates of tiles with a single holder.
    single: BTreeMap<u32, f64>,
    /// Rates by the two servers that are drawn, the lower index first.
    pairs: BTreeMap<(u32, u32), f64>,
}

/// The load of a server. `rate` is its arrival rate in parts per second, and `in_system` the mean number of
/// parts in its queue or in service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub rate: f64,
    pub in_system: f64,
}

impl ReplicaChoices {
    /// Adds `rate` parts per second on a tile with these holders, which are given as indexes of servers.
    pub fn add(&mut self, holders: &[u32], rate: f64) {
        if rate <= 0.0 {
            return;
        }
        if let [only] = holders {
            *self.single.entry(*only).or_default() += rate;
        }
        let pairs = (holders.len() * holders.len().saturating_sub(1) / 2) as f64;
        for (n, a) in holders.iter().enumerate() {
            for b in holders.iter().skip(n + 1) {
                *self.pairs.entry((*a.min(b), *a.max(b))).or_default() += rate / pairs;
            }
        }
    }

    /// Returns the load of each server with all rates multiplied by `factor`. Servers that are not in
    /// `placement` are ignored.
    pub fn solve(&self, placement: &Placement, factor: f64) -> Vec<Load> {
        let own = own_share_of_queue(placement.independent_coordinators);
        let mut queues = vec![Queue::default(); placement.capacity.len()];
        let mut arrivals = vec![[0.0; QUEUE_LENGTHS]; placement.capacity.len()];
        let mut loads = vec![Load::default(); placement.capacity.len()];
        // Between two servers with equal queues in different zones, a coordinator prefers the one in its own
        // zone.
        let zone_of = |n: u32| placement.zones.get(n as usize).copied().unwrap_or_default();
        let tie = |a: u32, b: u32| match (zone_of(a), zone_of(b)) {
            ((one, _), (other, _)) if one == other => 0.5,
            ((_, one), (_, other)) => 0.5 + 0.5 * (one - other),
        };
        let ties: Vec<f64> = self.pairs.keys().map(|(a, b)| tie(*a, *b)).collect();
        for _ in 0..MAX_ROUNDS {
            arrivals.iter_mut().for_each(|a| *a = [0.0; QUEUE_LENGTHS]);
            for (server, rate) in &self.single {
                if let Some(server_arrivals) = arrivals.get_mut(*server as usize) {
                    server_arrivals.iter_mut().for_each(|a| *a += rate * factor);
                }
            }
            for (((a, b), rate), tie) in self.pairs.iter().zip(&ties) {
                for (one, other, tie) in [(*a, *b, *tie), (*b, *a, 1.0 - *tie)] {
                    let (Some(server_arrivals), Some(other)) =
                        (arrivals.get_mut(one as usize), queues.get(other as usize))
                    else {
                        continue;
                    };
                    let wins = other.longer.iter().zip(&other.same);
                    { server_arrivals.iter_mut() }
                        .zip(wins)
                        .for_each(|(a, (l, s))| *a += rate * factor * (l + tie * s));
                }
            }
            let mut max_change: f64 = 0.0;
            for (((queue, arrivals), capacity), load) in
                queues.iter_mut().zip(&arrivals).zip(&placement.capacity).zip(&mut loads)
            {
                let new = queue.step(arrivals, *capacity, &own);
                max_change = max_change.max((new.rate - load.rate).abs() / new.rate.max(f64::MIN_POSITIVE));
                *load = new;
            }
            if max_change < CONVERGED {
                break;
            }
        }
        loads
    }
}

/// The servers that parts are distributed to, and what the coordinators know about their queues.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The capacity of each server, in parts per second.
    pub capacity: Vec<f64>,
    /// The zone of each server, and the share of coordinators that are in that zone.
    pub zones: Vec<(u8, f64)>,
    /// The number of coordinators, if each sees only its own parts in a queue; 1 if servers report the length
    /// of their whole queue.
    pub independent_coordinators: u32,
}

/// Returns, for each queue length, the distribution of the number of parts in the queue that one given
/// coordinator sent. It is binomial, since each part comes from any coordinator with equal probability.
fn own_share_of_queue(independent_coordinators: u32) -> Vec<[f64; QUEUE_LENGTHS]> {
    let p = 1.0 / f64::from(independent_coordinators.max(1));
    let mut rows = Vec::with_capacity(QUEUE_LENGTHS);
    let mut row = [0.0; QUEUE_LENGTHS];
    row[0] = 1.0;
    for _ in 0..QUEUE_LENGTHS {
        rows.push(row);
        let mut before = 0.0;
        for at in &mut row {
            (*at, before) = (*at * (1.0 - p) + before * p, *at);
        }
    }
    rows
}

/// The probability distribution of a queue's length.
#[derive(Clone)]
struct Queue {
    /// The probability of each length.
    at: [f64; QUEUE_LENGTHS],
    /// For each length, the probability that a coordinator sees a greater one.
    longer: [f64; QUEUE_LENGTHS],
    /// For each length, the probability that a coordinator sees the same one.
    same: [f64; QUEUE_LENGTHS],
}

impl Default for Queue {
    fn default() -> Self {
        let mut at = [0.0; QUEUE_LENGTHS];
        at[0] = 1.0;
        Queue { at, longer: [0.0; QUEUE_LENGTHS], same: at }
    }
}

impl Queue {
    /// Moves the distribution half way to the stationary distribution of the birth-death chain with these
    /// arrival rates, and returns the resulting load. `arrivals` has a rate for each length that a
    /// coordinator sees, and `own` is the result of [`own_share_of_queue`].
    fn step(&mut self, arrivals: &[f64; QUEUE_LENGTHS], capacity: f64, own: &[[f64; QUEUE_LENGTHS]]) -> Load {
        let (mut chain, mut weight) = ([0.0; QUEUE_LENGTHS], 1.0);
        let by_length: Vec<f64> =
            own.iter().map(|own| own.iter().zip(arrivals).map(|(p, a)| p * a).sum()).collect();
        for (at, arrives) in chain.iter_mut().zip(&by_length) {
            *at = weight;
            // The weight is bounded, because it would overflow for an overloaded server.
            weight = (weight * arrives / capacity.max(f64::MIN_POSITIVE)).min(1e100);
        }
        let total: f64 = chain.iter().sum();
        let mut load = Load::default();
        self.same = [0.0; QUEUE_LENGTHS];
        let each = self.at.iter_mut().zip(chain).zip(&by_length).zip(own).enumerate();
        for (length, (((at, new), arrives), own)) in each {
            *at = 0.5 * (*at + new / total);
            load.rate += *at * arrives;
            load.in_system += *at * length as f64;
            self.same.iter_mut().zip(own).for_each(|(s, p)| *s += *at * p);
        }
        let mut longer = 1.0;
        for (wins, same) in self.longer.iter_mut().zip(&self.same) {
            longer -= same;
            *wins = f64::max(longer, 0.0);
        }
        load
    }
}
