//! The discovery client together with the components that it updates (data nodes, coordinator and balancer),
//! wired as in the program but without a front end.
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use marlgap::balancer::interface::EndpointUpdate;
use marlgap::config::settings::{self, Deployment, SettingsParseError};
use marlgap::coordinator::Coordinator;
use marlgap::net::data_nodes::DataNodes;
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::discovery::{Discovery, EndpointList};
use marlgap::net::memory_budget::MemoryBudget;
use serde_json::json;

use crate::stub_discovery::{Exchange, Reply, StubDiscovery};

const SEED: u64 = 11;
/// File descriptor limit of the process, as in the largest current deployment.
pub const DESCRIPTORS: usize = 1024;
/// Number of data nodes in a cell.
const DATA_NODES_PER_CELL: u64 = 2;
const NODE_PORT: u16 = 8081;
/// Start time of the first data node, in Unix milliseconds.
///
/// Every entry gets a start time of its own, because most data nodes restart within weeks.
const FIRST_START_UNIX_MS: u64 = 1_790_000_000_000;

/// Returns a list of `data_nodes` data nodes as discovery encodes it, starting with number `first`.
pub fn list_json(seq: u64, complete: bool, first: u64, data_nodes: u64, zones: u64, health: &str) -> String {
    let hosts: Vec<String> = (first..first + data_nodes).map(|n| host(n, zones, health)).collect();
    format!(r#"{{"seq":{seq},"whole":{complete},"hosts":[{}]}}"#, hosts.join(","))
}

fn host(n: u64, zones: u64, health: &str) -> String {
    let name = n.wrapping_mul(0x9e37_79b9) as u32;
    let dial = Ipv4Addr::from(0x0a00_0000 + n as u32);
    format!(
        r#"{{"host":"s-{name:08x}","dial":"{dial}:{NODE_PORT}","site":"z{:02}","class":"m2","block":{},"health":"{health}","share":1.0,"born_ms":{}}}"#,
        n % zones.max(1),
        n / DATA_NODES_PER_CELL,
        FIRST_START_UNIX_MS + n * 1000
    )
}

/// Returns a loopback address for clients that make no calls.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

/// Returns the settings of a deployment with these numbers of data nodes and zones, which polls discovery.
pub fn deployment(data_nodes: u64, zones: u64) -> Result<Deployment, SettingsParseError> {
    let cells = (data_nodes / DATA_NODES_PER_CELL).clamp(1, u64::from(u16::MAX));
    let names: Vec<String> = (0..zones.max(1)).map(|n| format!("z{n:02}")).collect();
    let settings = json!({
        "Classes": [{"Name": "field-lookup", "AimS": 1.0, "DeadlineS": 4.0, "Worth": 1.0, "LateWorth": 0.3,
            "Semantics": "pure"}],
        "Clients": {"MarksRetry": true},
        "Discovery": "ask",
        "FamilyInfo": {"ClassNeed": [1.0], "ClassPartial": [0.9], "FetchParts": [0], "InARow": cells.min(3),
            "LeastShare": [1.0], "PerCall": 1, "Positions": cells, "Shards": cells},
        "Limits": {"Cancel": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MaxRetryAfterS": 2.0,
            "MostTries": 4, "Multiplex": 32, "OpenCap": 300, "Probes": true, "RetryAfter": true,
            "SecondCopies": true},
        "Localities": names, "PeriodS": 0.005, "ReplicasOfMe": 1,
        "Reporting": {"How": "inline", "Names": ["inflight"]},
        "Safety": {"AskWithinS": 10.0}, "Zone": 0
    });
    settings::parse(settings.to_string().as_bytes())
}

/// A discovery client and the coordinator that it updates.
pub struct DiscoveryClient {
    pub discovery: Discovery,
    core: Rc<Coordinator<DataNodes>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl DiscoveryClient {
    /// Creates a client for a deployment with these numbers of data nodes and zones, and discovery at an
    /// address.
    ///
    /// It makes no calls until [`run_watch`] runs it.
    pub fn new(data_nodes: u64, zones: u64, address: SocketAddr) -> DiscoveryClient {
        let config = deployment(data_nodes, zones).expect("valid settings of the bench");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let executor = Rc::new(LocalExecutor::new());
        let descriptors = Rc::new(DescriptorBudget::new(DESCRIPTORS));
        let memory = MemoryBudget::new(usize::MAX);
        let nodes = DataNodes::new(config.clone(), descriptors, memory, executor.clone(), log.clone());
        let core = Coordinator::new(
            config.with_default_tenant(),
            SEED,
            config.max_open,
            executor.clone(),
            nodes.clone(),
        )
        .expect("valid settings of the bench");
        let mode_and_zones = (config.settings.discovery, config.zones);
        // No configuration reload changes the address of discovery.
        let (_, address_changes) = async_channel::bounded(1);
        let discovery = Discovery::new(address, address_changes, core.clone(), nodes, mode_and_zones, 1, log);
        executor.spawn(core.clone().run()).detach();
        DiscoveryClient { discovery, core, executor }
    }

    /// Applies a list as the watch does and runs the balancer round that follows.
    pub fn apply_list(&self, list: &EndpointList, update: EndpointUpdate) {
        self.discovery.apply(list, update);
        while self.executor.try_tick() {}
    }

    /// Returns the number of data nodes that the balancer knows.
    pub fn known_replicas(&self) -> usize {
        self.core.known_replicas()
    }
}

/// Runs the watch against a stub of discovery until all replies are sent, and returns the exchanges.
///
/// `known_list` is the list that the client has at its start, if any.
pub fn run_watch(
    data_nodes: u64,
    zones: u64,
    known_list: Option<&str>,
    replies: Vec<Reply>,
) -> Vec<Exchange> {
    let discovery = StubDiscovery::start(replies).expect("loopback port");
    let client = DiscoveryClient::new(data_nodes, zones, discovery.address);
    let known_list: Option<EndpointList> =
        known_list.map(|text| serde_json::from_str(text).expect("valid list of the bench"));
    let executor = client.executor.clone();
    let watch_loop = async {
        client.discovery.run(known_list.as_ref()).await;
        Vec::new()
    };
    let exchanges = async { discovery.exchanges.recv().await.unwrap_or_default() };
    async_io::block_on(executor.run(watch_loop.or(exchanges)))
}
