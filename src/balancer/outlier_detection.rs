//! What is held against a replica, a room or a query, and until when.
use super::*;

/// A replica that owes an answer for this many times the 90th percentile, and gave none since, is silent.
const SILENT_TAIL: f64 = 3.0;
/// Weight of the newest sample in a replica's error score, and the score at which it is ejected: two failures
/// in a row, or every second one. A race lost with a hedge's head start counts too.
const ERROR_GAIN: f64 = 0.3;
const ERROR_LIMIT: f64 = 0.5;
/// The same weight for a part that went down with its connection: about fourteen in a row, none served.
const DROP_GAIN: f64 = 0.05;
/// Seconds of the first ejection; for silence at least the time between two sends to one replica. It doubles
/// with each further one up to the longest.
pub(super) const EJECT: f64 = 1.0;
const EJECT_LONGEST: f64 = 8.0;
/// So many replicas of one zone silent or out of reach, and none heard since: the room is lost.
const ROOM_LEAST: usize = 4;
/// Seconds for which queries are suspect after a replica died, the share of the typical time within which a
/// failed connect tells that, and a query of so few parts that it is not held back.
const SUSPECT: f64 = 20.0;
const FEW_PARTS: usize = 12;
const DIED_WITHIN: f64 = 0.25;
/// Answers in a row, one part at a time, by which an ejected replica is trusted again.
const TRIALS: u32 = 3;
/// Seconds that a full or unreachable replica is left alone.
const FULL_REST: f64 = 0.2;

impl Balancer {
    pub(super) fn judge(&mut self, id: ReplicaId, outcome: Outcome, took: f64, flight: Flight) {
        let (now, Some(r)) = (self.now, self.replicas.get_mut(&id)) else { return };
        r.used = now;
        let zone = r.listed.zone;
        match outcome {
            Outcome::Succeeded | Outcome::Rejected | Outcome::Error => self.replica_stats.hear(zone, now),
            Outcome::ConnectFailed => self.replica_stats.hush(zone, id, flight.sent, ROOM_LEAST),
            _ => {}
        }
        match outcome {
            Outcome::Rejected => (r.rest, r.full) = (now + FULL_REST, r.out.len()),
            Outcome::Succeeded => {
                self.recent.unanswered[usize::from(flight.paused)] *= 1.0 - GAIN;
                if r.ready() && r.cold_since(now, self.s.slow_start).is_none() {
                    self.recent.borne.add(now);
                    self.replica_stats.borne += 1.0;
                }
                r.whole.served(self.now, flight.sent);
                r.classes.entry(flight.class).or_default().served(self.now, flight.sent);
            }
            Outcome::Reset | Outcome::ConnectFailed => {
                if outcome == Outcome::Reset || took < DIED_WITHIN * self.pace.typical {
                    self.recent.suspect = self.now + SUSPECT;
                }
                r.used = 0.0;
                // Guards a part's few attempts: all would be spent on it where the others rest.
                if outcome == Outcome::ConnectFailed {
                    (r.rest, r.full) = (now + FULL_REST, 0);
                }
                self.recent.unanswered[0] += GAIN * (1.0 - self.recent.unanswered[0]);
                self.blame(id, flight, 1.0, true);
            }
            Outcome::Error => self.blame(id, flight, ERROR_GAIN, false),
            // Sound replicas close connections too; one that does nothing else is found out.
            Outcome::ConnectionLost => self.blame(id, flight, DROP_GAIN, false),
            Outcome::Cancelled if took <= HEDGE_TAIL * self.pace.tail => {}
            Outcome::TimedOut | Outcome::Cancelled if flight.silent => {}
            Outcome::TimedOut | Outcome::Cancelled => self.unanswered(id, flight, ERROR_GAIN),
            Outcome::NeverSent => {}
        }
    }

    /// No answer. Where mainly what follows a pause goes unanswered, a connection was dropped unseen: the
    /// replica is sound.
    fn unanswered(&mut self, id: ReplicaId, flight: Flight, gain: f64) {
        let loss = &mut self.recent.unanswered[usize::from(flight.paused)];
        *loss += GAIN * (1.0 - *loss);
        if !(flight.paused && self.reaped()) {
            self.blame(id, flight, gain, false);
        }
    }

    /// The one place for blame. A failure counts against the class alone while the replica lately served
    /// another, else against the replica; a broken connection always does.
    fn blame(&mut self, id: ReplicaId, flight: Flight, gain: f64, whole: bool) {
        let (now, between) = (self.now, self.between());
        let seen = if whole || gain < 1.0 { 0.0 } else { between };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        let sound = |(c, b): (&ClassId, &Blame)| *c != flight.class && b.answered > flight.sent - RECENT;
        let class_only = !whole && r.classes.iter().any(sound);
        let b = if class_only { r.classes.entry(flight.class).or_default() } else { &mut r.whole };
        b.errors += gain * (1.0 - b.errors);
        let on_trial = b.trials > 0 && flight.sent >= b.until;
        if b.errors > ERROR_LIMIT || on_trial {
            b.eject(now, EJECT.max(seen));
            self.suspects(id);
        }
    }

    /// Seen deaths make queries of many parts suspect: each tries one part first, so that a deadly one breaks
    /// one replica only.
    pub(crate) fn on_probation(&self, query: &Query) -> bool {
        query.served == 0 && query.parts.len() > FEW_PARTS && self.recent.suspect > self.now
    }

    /// Guards against replicas that take work and answer nothing, whatever keeps them silent.
    pub(super) fn watch_silence(&mut self) {
        let limit = self.now - (SILENT_TAIL * self.pace.tail).max(8.0 * self.s.round_interval);
        let (late, between) = (self.now - self.pace.tail, self.between());
        for (id, sent) in self.flights.unheard(late) {
            self.replica_stats.hush(self.replicas[&id].listed.zone, id, sent, ROOM_LEAST);
        }
        if self.replica_stats.lose(self.now + between.max(EJECT), ROOM_LEAST) {
            self.agenda.touch_all();
        }
        for (id, attempt) in self.flights.silent(limit) {
            let flight = self.replicas.get_mut(&id).and_then(|r| r.out.get_mut(&attempt));
            if let Some(flight) = flight.map(|f| std::mem::replace(f, Flight { silent: true, ..*f })) {
                self.suspects(id);
                self.unanswered(id, flight, 1.0);
            }
        }
    }

    /// Whether a whole room is out of the draw. Guards parts where each replica is met seldom: learnt one by
    /// one, a lost room is known when it is back.
    pub(crate) fn room_lost(&self, r: &Replica) -> bool {
        let room = self.replica_stats.zones.get(&r.listed.zone);
        room.and_then(|room| room.until).is_some_and(|until| until > self.now)
    }
}

impl Blame {
    fn served(&mut self, now: f64, sent: f64) {
        self.answered = now;
        self.errors *= 1.0 - ERROR_GAIN;
        if self.trials > 0 && sent >= self.until {
            self.trials -= 1;
            self.strikes -= i32::from(self.trials == 0 && self.strikes > 0);
        }
    }

    /// Out of the draw for a while, longer each time; then trusted again after a few single parts.
    fn eject(&mut self, now: f64, first: f64) {
        if self.until <= now {
            self.until = now + (first * 2f64.powi(self.strikes)).min(EJECT_LONGEST.max(first));
            self.strikes = (self.strikes + 1).min(8);
            self.trials = TRIALS;
            self.errors = 0.0;
        }
    }
}
