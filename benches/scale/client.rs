//! Discovery's client and what it feeds, as the program wires them, without a front: the list of data nodes, the
//! connections' side, the core and its module.
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
use serde_json::json;

use crate::standin::{Exchange, Reply, Standin};

const SEED: u64 = 11;
/// Descriptors of the process, as the largest deployment of today has them.
pub const DESCRIPTORS: usize = 1024;
/// Data nodes of a cell.
const IN_CELL: u64 = 2;
const NODE_PORT: u16 = 8081;
/// When the data nodes started: each entry has a time of its own, since most restart within weeks.
const BORN_MS: u64 = 1_790_000_000_000;

/// A list of so many data nodes as discovery writes it, from the one numbered `first`.
pub fn list(seq: u64, whole: bool, first: u64, data_nodes: u64, zones: u64, health: &str) -> String {
    let hosts: Vec<String> = (first..first + data_nodes).map(|n| host(n, zones, health)).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

fn host(n: u64, zones: u64, health: &str) -> String {
    let name = n.wrapping_mul(0x9e37_79b9) as u32;
    let dial = Ipv4Addr::from(0x0a00_0000 + n as u32);
    format!(
        r#"{{"host":"s-{name:08x}","dial":"{dial}:{NODE_PORT}","site":"z{:02}","class":"m2","block":{},"health":"{health}","share":1.0,"born_ms":{}}}"#,
        n % zones.max(1),
        n / IN_CELL,
        BORN_MS + n * 1000
    )
}

/// An address at which nothing is called.
pub fn nowhere() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

/// A deployment's settings for so many data nodes and zones, its list asked for.
pub fn deployment(data_nodes: u64, zones: u64) -> Result<Deployment, SettingsParseError> {
    let cells = (data_nodes / IN_CELL).clamp(1, u64::from(u16::MAX));
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

/// A coordinator's discovery client and what it feeds.
pub struct Client {
    pub discovery: Discovery,
    core: Rc<Coordinator<DataNodes>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Client {
    /// One before so many data nodes, its discovery at an address. Nothing is called before [`Client::follow`].
    pub fn new(data_nodes: u64, zones: u64, at: SocketAddr) -> Client {
        let told = deployment(data_nodes, zones).expect("the bench's own settings are sound");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let executor = Rc::new(LocalExecutor::new());
        let descriptors = Rc::new(DescriptorBudget::new(DESCRIPTORS));
        let nodes = DataNodes::new(told.clone(), descriptors, executor.clone(), log.clone());
        let core = Coordinator::new(
            told.with_default_tenant(),
            SEED,
            told.max_open,
            executor.clone(),
            nodes.clone(),
        )
        .expect("the bench's own settings are sound");
        let how = (told.settings.discovery, told.zones);
        // No configuration moves it.
        let (_, moves) = async_channel::bounded(1);
        let discovery = Discovery::new(at, moves, core.clone(), nodes, how, 1, log);
        executor.spawn(core.clone().run()).detach();
        Client { discovery, core, executor }
    }

    /// Take over a list as the watch does, through the module's round.
    pub fn take_over(&self, list: &EndpointList, news: EndpointUpdate) {
        self.discovery.apply(list, news);
        while self.executor.try_tick() {}
    }

    /// Data nodes that the module knows.
    pub fn known(&self) -> usize {
        self.core.known_replicas()
    }
}

/// Follow the list for as long as the stand-in has replies, beginning with what is known; what went over the wire.
pub fn follow(data_nodes: u64, zones: u64, known: Option<&str>, replies: Vec<Reply>) -> Vec<Exchange> {
    let standin = Standin::start(replies).expect("a port on loopback");
    let client = Client::new(data_nodes, zones, standin.at);
    let known: Option<EndpointList> =
        known.map(|text| serde_json::from_str(text).expect("the bench's own list"));
    let executor = client.executor.clone();
    let watch = async {
        client.discovery.run(known.as_ref()).await;
        Vec::new()
    };
    let served = async { standin.exchanges.recv().await.unwrap_or_default() };
    async_io::block_on(executor.run(watch.or(served)))
}
