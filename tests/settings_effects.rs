//! Classes whose parts may be repeated only within a window: no attempt is written after that window,
//! however long it had to wait.
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use marlgap::balancer::interface::*;
use marlgap::coordinator::*;
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::DescriptorBudget;

mod common;

/// An attempt held by the transport: its cancellation token, the sender that ends it with an outcome, and
/// the time when the transport received it.
type HeldAttempt = (CancellationToken, async_channel::Sender<Outcome>, Instant);

/// A transport that holds every attempt until the test ends it.
#[derive(Default)]
struct HoldingTransport(RefCell<Vec<HeldAttempt>>, event_listener::Event);

impl Transport for HoldingTransport {
    type RequestContext = ();
    async fn call(self: Rc<Self>, _: Call<Self>, cancellation: CancellationToken) -> AttemptResult {
        let (outcome_sender, outcome_receiver) = async_channel::bounded(1);
        self.0.borrow_mut().push((cancellation, outcome_sender, Instant::now()));
        self.1.notify(usize::MAX);
        outcome_receiver.recv().await.unwrap_or(Outcome::Reset).into()
    }
    fn health_check(self: Rc<Self>, _: ReplicaId) -> impl Future<Output = (bool, Option<LoadReport>)> {
        std::future::ready((false, None))
    }
    fn close_idle(&self, _: ReplicaId) {}
}

impl HoldingTransport {
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
/// A delay after which the window of an attempt has passed, counted from when the attempt was decided.
const AFTER_WINDOW: Duration = Duration::from_millis(301);

/// Runs a part of a class with a retry window until the part has two attempts. The first one ends with the
/// given outcome, or remains in flight while the second one is sent as a hedge.
fn two_attempts(first: Option<Outcome>, check: impl FnOnce(&[HeldAttempt])) {
    let (executor, transport) = (Rc::new(LocalExecutor::new()), Rc::new(HoldingTransport::default()));
    let class = Class {
        idempotency: Idempotency::Keyed { window: WINDOW },
        latency_objective: 0.1,
        ..common::single_step_class()
    };
    let settings = Settings { classes: vec![class], max_attempts: 4, ..Settings::default() };
    let coordinator =
        Coordinator::new(settings, 1, 100, executor.clone(), transport.clone()).expect("valid settings");
    let listed = |n| Endpoint {
        replica: ReplicaId(n),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    coordinator.update_endpoints(EndpointUpdate::Full, (0..6).map(listed).collect());
    executor.spawn(coordinator.clone().run()).detach();
    let query = coordinator.submit(common::query(1, (), None)).expect("admitted");
    async_io::block_on(executor.run(async {
        transport.attempts(1).await;
        if let Some(outcome) = first {
            transport.0.borrow()[0].1.try_send(outcome).expect("the attempt is waiting");
        }
        transport.attempts(2).await;
    }));
    check(&transport.0.borrow());
    drop(query);
}

#[test]
fn a_retry_delayed_past_its_window_is_not_written() {
    two_attempts(Some(Outcome::Error), |attempts| {
        let (_, _, first) = attempts[0];
        let (cancellation, _, second) = &attempts[1];
        assert!(
            !cancellation.is_cancelled() && !cancellation.is_past_retry_window(*second),
            "it may be written within its window"
        );
        assert!(
            cancellation.is_past_retry_window(first + AFTER_WINDOW),
            "its window counts from the first attempt"
        );
    });
}

/// Either of two waiting attempts may be written first, which makes the other one the repeat.
#[test]
fn neither_of_two_waiting_attempts_is_written_after_the_window_of_the_other() {
    two_attempts(None, |attempts| {
        let (first, second) = (&attempts[0], &attempts[1]);
        assert!(!first.0.is_past_retry_window(second.2) && !second.0.is_past_retry_window(second.2));
        assert!(second.0.is_past_retry_window(first.2 + AFTER_WINDOW));
        assert!(
            first.0.is_past_retry_window(second.2 + AFTER_WINDOW),
            "the first would arrive after its repeat and too late"
        );
    });
}

#[test]
fn an_attempt_after_one_that_never_ran_has_no_window() {
    for outcome in [Outcome::Rejected, Outcome::NeverSent] {
        two_attempts(Some(outcome), |attempts| {
            assert!(!attempts[1].0.is_past_retry_window(attempts[1].2 + AFTER_WINDOW), "{outcome:?}")
        });
    }
}

/// A transport that fails the first attempt of a part and sends the second one to the data nodes.
struct SecondAttemptTransport(Rc<DataNodes>, std::cell::Cell<Option<Instant>>, ReplicaId);

impl Transport for SecondAttemptTransport {
    type RequestContext = RequestContext;
    async fn call(self: Rc<Self>, call: Call<Self>, cancellation: CancellationToken) -> AttemptResult {
        if self.1.replace(Some(Instant::now())).is_none() {
            return Outcome::Error.into();
        }
        let call =
            Call::standalone(self.2, call.context.clone(), call.shard, call.step.clone(), call.deadline);
        self.0.clone().call(call, cancellation).await
    }
    fn health_check(self: Rc<Self>, _: ReplicaId) -> impl Future<Output = (bool, Option<LoadReport>)> {
        std::future::ready((false, None))
    }
    fn close_idle(&self, _: ReplicaId) {}
}

/// Guards the retry window on the wire: the only stream of the only connection becomes free after the
/// window has passed.
#[test]
fn no_frame_is_sent_for_a_retry_that_got_a_stream_too_late() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let folder = common::write_configuration("window", &[address], address, 1, 75);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    let mut deployment =
        marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings");
    deployment.connections.max_streams = 1;
    deployment.settings.classes[0] =
        Class { idempotency: Idempotency::Keyed { window: WINDOW }, ..common::single_step_class() };
    deployment.settings.cells_per_shard = 1;
    let (executor, log) = (Rc::new(LocalExecutor::new()), slog::Logger::root(slog::Discard, slog::o!()));
    let nodes = DataNodes::new(
        deployment.clone(),
        Rc::new(DescriptorBudget::new(2)),
        common::memory(),
        executor.clone(),
        log,
    );
    let replica = nodes.register(&ListedDataNode {
        name: "n0".to_owned(),
        address,
        state: EndpointState::Ready,
        start_unix_ms: 0,
    });
    let transport = Rc::new(SecondAttemptTransport(nodes.clone(), Default::default(), replica));
    let coordinator = Coordinator::new(deployment.settings, 1, 100, executor.clone(), transport.clone())
        .expect("valid settings");
    let listed = |n| Endpoint {
        replica: ReplicaId(n),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    };
    coordinator.update_endpoints(EndpointUpdate::Full, (1..7).map(listed).collect());
    executor.spawn(coordinator.clone().run()).detach();
    let deadline = Instant::now() + common::TEST_TIMEOUT;
    let start_standalone = |id: &str| {
        let context = Rc::new(RequestContext::new(id.to_owned(), b"s".to_vec()));
        let (cancel, cancellation) = CancellationToken::new();
        let call = Call::standalone(replica, context, ShardId(0), Step::First, deadline);
        (executor.spawn(nodes.clone().call(call, cancellation)), cancel)
    };
    let ((signal_held, wait_until_held), (signal_start, wait_for_start)) =
        (async_channel::bounded(1), async_channel::bounded::<Instant>(1));
    let node = std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = listener.accept().expect("accepted").0;
        common::read_frame(&mut stream).expect("a frame");
        signal_held.send_blocking(()).expect("received");
        let after = wait_for_start.recv_blocking().expect("signalled") + AFTER_WINDOW;
        std::thread::sleep(after.saturating_duration_since(Instant::now()));
        stream.write_all(&common::frame("a before.0 served 1 -\nV")).expect("written");
        let next = common::read_frame(&mut stream).expect("a frame");
        stream.write_all(&common::frame("a behind.0 served 1 -\nV")).expect("written");
        next
    });
    async_io::block_on(executor.run(async {
        let before = start_standalone("before");
        wait_until_held.recv().await.expect("held");
        let late = RequestContext::new("late".to_owned(), b"s".to_vec());
        let query = coordinator.submit(common::query(1, late, None)).expect("admitted");
        let submitted_at = Instant::now();
        signal_start.send(submitted_at).await.expect("received");
        // One attempt may have run and the other was never sent, so the query fails instead of being
        // rejected.
        assert_eq!(query.outcome().await, QueryOutcome::Failed);
        assert!(transport.1.get().is_some_and(|second| second > submitted_at), "there was a second attempt");
        let behind = start_standalone("behind");
        assert_eq!(
            (before.0.await.outcome, behind.0.await.outcome),
            (Outcome::Succeeded, Outcome::Succeeded)
        );
    }));
    assert!(node.join().expect("ran").starts_with("q behind.0 "));
}
