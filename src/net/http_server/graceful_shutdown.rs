//! The end of service: told once, and seen by every connection.
use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event as Wake;

use crate::send_policy::HELD_UP;

/// The protocol's figures for a planned restart. What comes in later than `LATE` after SIGTERM is lost if SIGKILL
/// finds it unanswered; SIGKILL comes no sooner than that much behind the longest deadline, which counts as
/// `COUNTED` where it is longer; new connections keep coming for `NEW`.
const LATE: Duration = Duration::from_millis(700);
const COUNTED: Duration = Duration::from_secs(3);
const NEW: Duration = Duration::from_millis(400);
/// What each limit on time is longer by over sockets.
const OVER_SOCKETS: Duration = Duration::from_millis(50);
/// How long after SIGTERM connections are accepted, and rest: one that came last has its request in by then, and
/// a query of the longest deadline taken then is still over before `LAST` begins.
pub const ACCEPT_GRACE: Duration = NEW.saturating_add(OVER_SOCKETS);
/// The time before SIGKILL in which nothing is waited for any more: answers leave, and the program ends. Guards what was
/// taken against a process that is held up just then: half of the rest behind that is for its answers.
const LAST: Duration = Duration::from_millis(240);
const _: () = assert!(HELD_UP.as_millis() + OVER_SOCKETS.as_millis() < LAST.as_millis());
const _: () = assert!(ACCEPT_GRACE.as_millis() + LAST.as_millis() < LATE.as_millis());

#[derive(Default)]
pub struct GracefulShutdown {
    /// No new work is wanted: answers say that the connection closes.
    pub draining: Cell<bool>,
    /// Connections between requests are closed.
    idle: Cell<bool>,
    /// Until when the rest of a request may come in, and until when one that was taken is worked at.
    late: Cell<Option<Instant>>,
    over: Cell<Option<Instant>>,
    wake: Wake,
}

impl GracefulShutdown {
    /// SIGTERM came at `now`. Where SIGKILL goes by it, `longest` is the longest deadline of all classes.
    pub fn start_draining(&self, now: Instant, longest: Option<Duration>) {
        self.draining.set(true);
        self.late.set(Some(now + LATE));
        self.over.set(longest.map(|longest| now + longest.min(COUNTED) + LATE - LAST));
        self.wake.notify(usize::MAX);
    }

    /// Connections are no longer accepted, nor may they rest.
    pub fn stop_keep_alive(&self) {
        self.idle.set(true);
        self.wake.notify(usize::MAX);
    }

    async fn until(&self, told: impl Fn() -> bool) {
        while !told() {
            let listener = self.wake.listen();
            if !told() {
                listener.await;
            }
        }
    }

    /// Resolves once no new work is wanted.
    pub async fn drain_started(&self) {
        self.until(|| self.draining.get()).await;
    }

    pub(super) async fn idle(&self) {
        self.until(|| self.idle.get()).await;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.idle.get()
    }

    async fn at(&self, time: &Cell<Option<Instant>>) {
        self.until(|| time.get().is_some()).await;
        if let Some(time) = time.get() {
            Timer::at(time).await;
        }
    }

    /// Resolves once the rest of a request need not be waited for any more.
    pub(super) async fn late(&self) {
        self.at(&self.late).await;
    }

    /// Resolves once what was taken has to be answered, finished or not. Guards against a query with more time
    /// than SIGKILL leaves us: it would get no answer at all.
    pub async fn answer_deadline_passed(&self) {
        self.at(&self.over).await;
    }

    /// A deadline, cut to the time that is left.
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.over.get().map_or(deadline, |over| deadline.min(over))
    }

    /// By when the program is to have ended.
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.over.get().map(|over| over + LAST / 2)
    }
}
