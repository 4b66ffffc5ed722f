//! Classes whose parts may be repeated for a while only: no attempt is written after that, however long it waited.
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use marlgap::core::*;
use marlgap::interface::*;

mod common;

/// The place of an attempt in its transport: what ends it, and when it was handed over.
type Held = (Stop, async_channel::Sender<Outcome>, Instant);

/// Holds every attempt until the test ends it.
#[derive(Default)]
struct Holds(RefCell<Vec<Held>>, event_listener::Event);

impl Transport for Holds {
    type Carried = ();
    async fn call(self: Rc<Self>, _: Call<Self>, stop: Stop) -> Ended {
        let (end, ended) = async_channel::bounded(1);
        self.0.borrow_mut().push((stop, end, Instant::now()));
        self.1.notify(usize::MAX);
        ended.recv().await.unwrap_or(Outcome::Reset).into()
    }
    fn probe(self: Rc<Self>, _: ReplicaId) -> impl Future<Output = (bool, Option<Report>)> {
        std::future::ready((false, None))
    }
    fn close_idle(&self, _: ReplicaId) {}
}

impl Holds {
    async fn attempts(&self, n: usize) {
        while self.0.borrow().len() < n {
            let listener = self.1.listen();
            if self.0.borrow().len() < n {
                listener.await;
            }
        }
    }
}

const WINDOW: f64 = 0.3;
/// After every attempt's window, seen from when the attempt was decided.
const LATER: Duration = Duration::from_millis(301);

/// A part of such a class; its first attempt has come to this end, or is out until a second one is beside it.
fn two_attempts(first: Option<Outcome>, check: impl FnOnce(&[Held])) {
    let (executor, holds) = (Rc::new(LocalExecutor::new()), Rc::new(Holds::default()));
    let class = Class { effect: Effect::Keyed { window: WINDOW }, aim: 0.1, ..common::class() };
    let settings = Settings { classes: vec![class], most_tries: 4, ..Settings::default() };
    let core = Core::new(settings, 1, 100, executor.clone(), holds.clone()).expect("served");
    let listed = |n| Listed { replica: ReplicaId(n), phase: Phase::Ready, weight: 1.0, ..Listed::default() };
    core.members(News::Full, (0..6).map(listed).collect());
    executor.spawn(core.clone().run()).detach();
    let deadline = Instant::now() + common::PATIENCE;
    let parts = vec![(ShardId(0), 1.0)];
    let query = Query { class: ClassId(0), deadline, repeat: false, parts, carried: (), protection: None };
    let taken = core.take(query).expect("room");
    async_io::block_on(executor.run(async {
        holds.attempts(1).await;
        if let Some(outcome) = first {
            holds.0.borrow()[0].1.try_send(outcome).expect("out");
        }
        holds.attempts(2).await;
    }));
    check(&holds.0.borrow());
    drop(taken);
}

#[test]
fn a_repeat_that_waited_past_its_window_is_not_written() {
    two_attempts(Some(Outcome::Error), |held| {
        let (_, _, first) = held[0];
        let (stop, _, second) = &held[1];
        assert!(!stop.called_off() && !stop.too_late(*second), "within its window it may be written");
        assert!(stop.too_late(first + LATER), "it waited on its connect past the window of the first");
    });
}

/// Either may be written first; the other one is the repeat then.
#[test]
fn neither_of_two_that_wait_is_written_after_the_window_of_the_other() {
    two_attempts(None, |held| {
        let (first, second) = (&held[0], &held[1]);
        assert!(!first.0.too_late(second.2) && !second.0.too_late(second.2));
        assert!(second.0.too_late(first.2 + LATER));
        assert!(first.0.too_late(second.2 + LATER), "the first would come late behind its repeat");
    });
}

#[test]
fn an_attempt_behind_one_that_never_ran_has_its_time() {
    for never in [Outcome::TurnedAway, Outcome::NotSent] {
        two_attempts(Some(never), |held| assert!(!held[1].0.too_late(held[1].2 + LATER), "{never:?}"));
    }
}
