//! A client whose requests wait for their turn while other tasks run. Runs in-process, so that the test alone
//! determines the order.
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::http::Response;
use marlgap::net::http_server::{Acceptor, ClientConnection, GracefulShutdown};
use marlgap::net::memory_budget::MemoryBudget;
use marlgap::net::{io_budget, run_loop, socket};

/// Size of a request of which a connection reads one at once: when it is served, the next is in the socket.
const ONE_READ: usize = 4096;
/// Size of a request of which a connection has read a part when its turn ends.
const TWO_READS: usize = 6000;

fn request(bytes: usize) -> Vec<u8> {
    let head = "GET /x HTTP/1.1\r\nX-Padding: ";
    let padding = "x".repeat(bytes - head.len() - "\r\n\r\n".len());
    format!("{head}{padding}\r\n\r\n").into_bytes()
}

/// Serves a connection until it ends, and records when each request arrived.
async fn serve(mut client: ClientConnection, arrivals: Rc<RefCell<Vec<Instant>>>) {
    while let Ok(message) = client.next_request().await {
        arrivals.borrow_mut().push(client.request_arrived_at());
        client.consume(message.length);
        if !client.write_response(&Response::new(200, ""), true).await {
            return;
        }
    }
}

/// Serves clients that have sent requests of `bytes` before their connections are accepted, of each as many as
/// take three turns. Another task calls `observe` with the number of requests served so far each time it is
/// polled, and is always ready. Returns the arrival times of the requests that were served, and how many were
/// sent.
fn serve_sent_requests(
    clients: usize,
    bytes: usize,
    mut observe: impl FnMut(usize, &GracefulShutdown) + 'static,
) -> (Vec<Instant>, usize) {
    let executor = Rc::new(LocalExecutor::new());
    let shutdown = Rc::new(GracefulShutdown::default());
    let arrivals = Rc::<RefCell<Vec<Instant>>>::default();
    let listener = socket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
    let address = listener.get_ref().local_addr().expect("bound");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let descriptors = Rc::new(DescriptorBudget::new(2 * clients + 16));
    let per_client = 3 * io_budget::BYTES_PER_POLL / bytes;
    let sent = clients * per_client;
    let connect = |_| {
        let mut client = TcpStream::connect(address).expect("connects");
        client.write_all(&request(bytes).repeat(per_client)).expect("written");
        client
    };
    let _clients: Vec<TcpStream> = (0..clients).map(connect).collect();
    let acceptor =
        Acceptor::new(executor.clone(), shutdown.clone(), descriptors, MemoryBudget::new(usize::MAX), log);
    let connections = acceptor.clone();
    let recorded = arrivals.clone();
    executor.spawn(acceptor.accept(listener, move |client| serve(client, recorded.clone()))).detach();
    let served = arrivals.clone();
    let observer = executor.spawn(async move {
        while served.borrow().is_empty() || connections.open_connections() > 0 {
            let count = served.borrow().len();
            if count == sent {
                break;
            }
            observe(count, &shutdown);
            yield_now().await;
        }
    });
    async_io::block_on(run_loop::run(&executor, observer));
    let arrivals = arrivals.take();
    (arrivals, sent)
}

/// Guards against requests that are dropped at a shutdown because they have arrived and wait for their turn.
#[test]
fn requests_that_wait_for_a_turn_when_keep_alive_stops_are_served() {
    let served_at_stop = Rc::<Cell<Option<usize>>>::default();
    let at_stop = served_at_stop.clone();
    let (arrivals, sent) = serve_sent_requests(1, ONE_READ, move |served, shutdown| {
        if served > 0 && at_stop.get().is_none() {
            at_stop.set(Some(served));
            shutdown.stop_keep_alive();
        }
    });
    let waiting = sent - served_at_stop.get().expect("keep-alive was stopped");
    assert!(2 * waiting > sent, "only {waiting} of {sent} requests waited for a turn");
    assert_eq!(arrivals.len(), sent);
}

/// Guards against a time limit that starts late because a request waits for its turn in the socket.
#[test]
fn the_wait_for_a_turn_counts_towards_the_time_limit_of_a_request() {
    let (arrivals, sent) = serve_sent_requests(1, TWO_READS, |_, _| ());
    assert_eq!(arrivals.len(), sent);
    assert!(arrivals.iter().all(|arrival| *arrival == arrivals[0]), "{arrivals:?}");
}

/// Guards against a delay that grows with the number of clients that have more to read than one turn allows:
/// once each of them has had its first turn, a ready task waits for one turn at most.
#[test]
fn clients_that_wait_for_turns_delay_others_by_no_more_than_one_of_them() {
    const CLIENTS: usize = 64;
    const PER_TURN: usize = io_budget::BYTES_PER_POLL / ONE_READ;
    let longest_wait = Rc::<Cell<usize>>::default();
    let (longest, mut last) = (longest_wait.clone(), 0);
    let (arrivals, sent) = serve_sent_requests(CLIENTS, ONE_READ, move |served, _| {
        if last >= CLIENTS * PER_TURN {
            longest.set(longest.get().max(served - last));
        }
        last = served;
    });
    assert_eq!(arrivals.len(), sent);
    assert!((1..=PER_TURN).contains(&longest_wait.get()), "{longest_wait:?} requests while a task was ready");
}

/// Guards against queries that are late because hundreds of clients have sent a lot when each of them is looked
/// at for the first time: together they delay a ready task by their bytes without a turn, and by one turn.
#[test]
fn the_first_input_of_many_clients_delays_others_by_their_bytes_without_a_turn() {
    const CLIENTS: usize = 64;
    let longest_wait = Rc::<Cell<usize>>::default();
    let (longest, mut last) = (longest_wait.clone(), 0);
    let (arrivals, sent) = serve_sent_requests(CLIENTS, ONE_READ, move |served, _| {
        longest.set(longest.get().max(served - last));
        last = served;
    });
    assert_eq!(arrivals.len(), sent);
    let without_turn = CLIENTS * io_budget::BYTES_WITHOUT_TURN + io_budget::BYTES_PER_POLL;
    assert!(longest_wait.get() * ONE_READ <= without_turn, "{longest_wait:?} requests");
}
