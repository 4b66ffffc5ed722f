//! Response times, by which replicas, parts and queries are judged.
use super::*;

/// Weight of the newest in admission's response time, and seconds in which that halves unseen.
const DELAY_GAIN: f64 = 0.1;
const DELAY_HALF: f64 = 0.5;
/// Pauses between our queries in which what the last ones took halves.
const QUERY_PAUSES: f64 = 4.0;
/// A query's slowest part takes so many times the mean one, more by so much of the logarithm of its parts
/// over so many; two steps take this many times one.
const QUERY_STRETCH: f64 = 2.0;
const WIDER: f64 = 0.45;
const WIDE: usize = 24;
const STEPS_STRETCH: f64 = 1.5;
/// Weight of the newest response time of a replica in its usual one, and seconds in which half of that is
/// forgotten; where it is met seldom, the weight is up to the second, and the time so many meetings with it.
const TOOK_WEIGHT: [f64; 2] = [0.3, 0.7];
const TOOK_HALF: f64 = 2.0;
const TOOK_MEETINGS: f64 = 1.0;
/// The most that reported rates may say. Guards against odd reports.
const MOST_HEADROOM: f64 = 3.0;

impl Balancer {
    /// Response times of the whole fleet, by which each replica and each part is judged.
    pub(super) fn measure(&mut self, id: ReplicaId, took: f64) {
        let (clock, weights) =
            (self.memory(), [TOOK_WEIGHT[0], TOOK_WEIGHT[usize::from(self.replica_stats.thin)]]);
        self.replicas.get_mut(&id).into_iter().for_each(|r| r.took.take(took, clock, weights));
        self.pace.tail *= 1.0 + GAIN * if took < self.pace.tail { -0.1 } else { 0.9 };
        self.pace.typical += GAIN * (took - self.pace.typical);
        let delay = self.delay_now();
        (self.pace.delay, self.pace.served) = (delay + DELAY_GAIN * (took - delay), self.now);
    }

    /// A replica answered nothing for so long, so it takes that at least. Guards against knowing jammed
    /// ones by the few answers that were still waited for.
    pub(super) fn unanswered_for(&mut self, id: ReplicaId, waited: f64) {
        let (now, usual) = (self.now, self.usual_time(id));
        let replica = self.replicas.get_mut(&id).filter(|_| waited > usual);
        replica.into_iter().for_each(|r| r.took = Fading { value: waited, at: now });
    }

    /// What a warm replica serves at its most, over the mean one: capacity is not told, and the upper part of
    /// the rates that they report bounds it from below. One where no rates are reported.
    pub(super) fn headroom(&self) -> f64 {
        self.replica_stats.rates.ratio().clamp(1.0, MOST_HEADROOM)
    }

    /// Now, the half-life of a replica's response time, which lasts until it is met again, and the base.
    fn memory(&self) -> (f64, f64, f64) {
        let half_life =
            if self.replica_stats.thin { TOOK_MEETINGS * self.replica_stats.between } else { TOOK_HALF };
        (self.now, half_life, self.pace.typical)
    }

    /// Response time of a replica as last seen; without news it fades into the typical one.
    pub(super) fn usual_time(&self, id: ReplicaId) -> f64 {
        let (now, half_life, typical) = self.memory();
        self.replicas[&id].took.now(now, half_life, typical)
    }

    /// The present response time of parts. Without news it decays: refusals keep it from being measured.
    fn delay_now(&self) -> f64 {
        self.pace.delay * 0.5f64.powf((self.now - self.pace.served) / DELAY_HALF)
    }

    /// How long a query of this class takes from its first send, as parts go now; where replicas are met
    /// seldom, as our last queries went, if that is longer. Guards against a jam of a few replicas, which the
    /// mean part hides, and against an overload that is forgotten before our next query is here.
    pub(super) fn expected(&self, class: &Class) -> f64 {
        let seldom = if self.replica_stats.seldom { self.query_now() } else { 0.0 };
        let steps = if class.second_step_parts > 0 { STEPS_STRETCH } else { 1.0 };
        seldom.max(self.delay_now() * QUERY_STRETCH) * steps
    }

    pub(super) fn query_now(&self) -> f64 {
        self.pace.query * 0.5f64.powf((self.now - self.pace.ended) / (QUERY_PAUSES * self.pause()))
    }

    /// Seconds between two queries of ours.
    pub(super) fn pause(&self) -> f64 {
        RECENT / (self.recent.taken.len() - self.recent.arrived.len()).max(1.0)
    }
}

/// How much longer a query of so many parts takes than a narrow one.
pub(super) fn wide(parts: usize) -> f64 {
    1.0 + WIDER * (parts.max(WIDE) as f64 / WIDE as f64).ln()
}

/// How many times the mean part's time a query of so many parts and steps takes.
pub fn stretch(parts: usize, steps: u32) -> f64 {
    wide(parts) * QUERY_STRETCH * if steps > 1 { STEPS_STRETCH } else { 1.0 }
}
