//! Health checks of search servers.
mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;

use futures_lite::future::{block_on, poll_once};
use marlgap::coordinator::{Clock, Transport};
use marlgap::net::dns_sd::watcher::FollowsServerList;
use marlgap::net::dns_sd::zone_file::{self, Server};
use marlgap::net::opensearch::servers::SearchServers;

const SERVICE: &str = "_opensearch._tcp.t.test.";

fn servers(address: SocketAddr, state: &str) -> Vec<Server> {
    let text = format!(
        "$ORIGIN t.test.\n$TTL 10\nh IN A 127.0.0.1\n_opensearch._tcp IN PTR n0._opensearch._tcp\n\
         n0._opensearch._tcp IN SRV 0 0 {} h\nn0._opensearch._tcp IN TXT \"cell=0\" \"zone=a\" \"state={state}\"\n",
        address.port()
    );
    zone_file::parse(text.as_bytes(), SERVICE).expect("valid records")
}

/// Guards against a health check that is sent to a server which began to drain while the connection for it was
/// established (related to issue 61).
#[test]
fn a_health_check_is_not_sent_to_a_server_that_drains_meanwhile() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let folder = common::write_configuration("search-probes", &[address], address, 1, 75);
    let settings = common::deployment(&folder).connections;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let transport: Rc<SearchServers> = SearchServers::new(settings, 8, log);
    let clock = Clock::new();
    let replica = transport.apply_list(&servers(address, "up"), &[], &clock)[0].replica;
    let mut check = pin!(transport.clone().health_check(replica));
    assert!(block_on(poll_once(check.as_mut())).is_none(), "the connection is being established");
    transport.apply_list(&servers(address, "draining"), &[], &clock);
    let (healthy, _) = block_on(check);
    assert!(!healthy);
    let mut received = Vec::new();
    let mut connection = listener.accept().expect("accepted").0;
    connection.set_read_timeout(Some(common::TEST_TIMEOUT)).expect("set");
    connection.read_to_end(&mut received).expect("closed");
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}
