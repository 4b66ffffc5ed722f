//! A request and the end of its connection's rest, in both orders: in-process, so that nothing but the test decides.
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::http_server::{self, Acceptor, GracefulShutdown};
use marlgap::net::socket;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\n\r\n";

/// A client of an acceptor whose connections note each request that is read and are then at its end.
fn with(crosses: impl AsyncFn(&GracefulShutdown, &mut TcpStream, &RefCell<Vec<bool>>)) -> Vec<bool> {
    let executor = Rc::new(LocalExecutor::new());
    let (closing, read) = (Rc::new(GracefulShutdown::default()), Rc::new(RefCell::new(Vec::new())));
    let listener = socket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
    let address = listener.get_ref().local_addr().expect("bound");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let descriptors = Rc::new(DescriptorBudget::new(16));
    let acceptor = Acceptor::new(executor.clone(), closing.clone(), descriptors, log);
    let (noted, held) = (read.clone(), acceptor.clone());
    let serve = move |mut client: http_server::Client| {
        let noted = noted.clone();
        async move {
            let next = client.next().await;
            noted.borrow_mut().push(next.is_ok());
        }
    };
    executor.spawn(acceptor.accept(listener, serve)).detach();
    let mut client = TcpStream::connect(address).expect("connects");
    let crossing = async {
        while held.held() == 0 {
            yield_now().await;
        }
        // Let it wait for its first bytes.
        for _ in 0..10 {
            yield_now().await;
        }
        crosses(&closing, &mut client, &read).await;
        while held.held() > 0 {
            yield_now().await;
        }
    };
    async_io::block_on(executor.run(crossing));
    let read = read.borrow().clone();
    read
}

#[test]
fn a_request_that_is_there_when_the_end_is_told_is_read() {
    let read = with(async |closing, client, _| {
        // Neither is seen before the other one is there.
        client.write_all(REQUEST).expect("written");
        closing.stop_keep_alive();
    });
    assert_eq!(read, [true]);
}

#[test]
fn a_request_behind_the_end_is_drained_and_its_connection_not_reset() {
    let read = with(async |closing, client, read| {
        closing.stop_keep_alive();
        client.set_nonblocking(true).expect("set");
        let ended = loop {
            match client.read(&mut [0]) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => yield_now().await,
                other => break other,
            }
        };
        assert_eq!(ended.expect("no reset"), 0);
        assert!(read.borrow().is_empty(), "still there");
        client.write_all(REQUEST).expect("written");
        client.shutdown(std::net::Shutdown::Write).expect("shut");
    });
    assert_eq!(read, [false]);
}
