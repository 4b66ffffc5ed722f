//! A request and the end of keep-alive at a graceful shutdown, in both orders. Runs in-process, so that the
//! test alone determines the order.
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::http_server::{self, Acceptor, GracefulShutdown};
use marlgap::net::memory_budget::MemoryBudget;
use marlgap::net::socket;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\n\r\n";

/// Runs `crossing` with a client of an acceptor whose connections read one request each and close. Returns,
/// for each connection, whether a request was read.
fn requests_read(
    crossing: impl AsyncFn(&GracefulShutdown, &mut TcpStream, &RefCell<Vec<bool>>),
) -> Vec<bool> {
    let executor = Rc::new(LocalExecutor::new());
    let shutdown = Rc::new(GracefulShutdown::default());
    let read = Rc::new(RefCell::new(Vec::new()));
    let listener = socket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
    let address = listener.get_ref().local_addr().expect("bound");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let descriptors = Rc::new(DescriptorBudget::new(16));
    let acceptor =
        Acceptor::new(executor.clone(), shutdown.clone(), descriptors, MemoryBudget::new(usize::MAX), log);
    let recorded = read.clone();
    let connections = acceptor.clone();
    let serve = move |mut client: http_server::ClientConnection| {
        let recorded = recorded.clone();
        async move {
            let next = client.next_request().await;
            recorded.borrow_mut().push(next.is_ok());
        }
    };
    executor.spawn(acceptor.accept(listener, serve)).detach();
    let mut client = TcpStream::connect(address).expect("connects");
    let run = async {
        while connections.open_connections() == 0 {
            yield_now().await;
        }
        // Let the connection wait for its first bytes.
        for _ in 0..10 {
            yield_now().await;
        }
        crossing(&shutdown, &mut client, &read).await;
        while connections.open_connections() > 0 {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(run));
    let read = read.borrow().clone();
    read
}

#[test]
fn a_request_received_before_keep_alive_stops_is_read() {
    let read = requests_read(async |shutdown, client, _| {
        // Both have happened before the connection notices either.
        client.write_all(REQUEST).expect("written");
        shutdown.stop_keep_alive();
    });
    assert_eq!(read, [true]);
}

#[test]
fn a_request_after_keep_alive_stops_is_drained_without_a_reset() {
    let read = requests_read(async |shutdown, client, read| {
        shutdown.stop_keep_alive();
        client.set_nonblocking(true).expect("set");
        let ended = loop {
            match client.read(&mut [0]) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => yield_now().await,
                other => break other,
            }
        };
        assert_eq!(ended.expect("no reset"), 0);
        assert!(read.borrow().is_empty(), "the connection is no longer being drained");
        client.write_all(REQUEST).expect("written");
        client.shutdown(std::net::Shutdown::Write).expect("shut");
    });
    assert_eq!(read, [false]);
}
