//! One coordinator: configuration, signals and wiring.
mod signals;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use clap::Parser;
use futures_lite::FutureExt;
use slog::{info, warn, Logger};

use marlgap::balancer::interface::Settings;
use marlgap::cli::{self, Cli, Command};
use marlgap::config::operator::{OperatorConfig, OperatorConfigError};
use marlgap::config::platform::{self, Config, ConfigError, LEAST_SHARED, RESERVED};
use marlgap::coordinator::{Coordinator, Transport};
use marlgap::net::cluster::ClusterNode;
use marlgap::net::data_nodes::DataNodes;
use marlgap::net::descriptors::Descriptors;
use marlgap::net::discovery::Discovery;
use marlgap::net::http_server::{Acceptor, GracefulShutdown, STILL_COMING};
use marlgap::net::platform_api::PlatformApi;
use marlgap::net::{grpc, invariants, opensearch, socket, timeout_at};
use signals::{Request, SignalHandlers};

/// Time between lines of counts.
const COUNTS_EVERY: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match &cli.command {
        None => run(None, &cli),
        Some(Command::Serve { config }) => run(Some(config), &cli),
        Some(Command::Check { config }) => print(cli::check(config)),
        Some(Command::Routes { config, call, metadata, message }) => {
            print(cli::routes(config, call.as_deref(), metadata, message.as_deref()))
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marlgap: {e}");
            ExitCode::FAILURE
        }
    }
}

fn print(text: Result<String, OperatorConfigError>) -> Result<(), ConfigError> {
    text.map(|text| print!("{text}")).map_err(ConfigError::Operator)
}

fn run(operator: Option<&Path>, cli: &Cli) -> Result<(), ConfigError> {
    // First of all: a SIGHUP that comes while the program starts must not end it.
    let signals = SignalHandlers::register().map_err(ConfigError::Signals)?;
    let config = platform::read(operator)?;
    let log = cli::log::open(cli.log_format, cli.log_level);
    invariants::log_to(log.clone());
    let executor = Rc::new(LocalExecutor::new());
    let path = operator.map(Path::to_owned);
    async_io::block_on(executor.run(serve(config, path, signals, executor.clone(), log)))
}

async fn serve(
    config: Config,
    file: Option<PathBuf>,
    mut signals: SignalHandlers,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
) -> Result<(), ConfigError> {
    let closing = Rc::new(GracefulShutdown::default());
    let (query_api, grpc, fleet) =
        config.operator.map_or((None, None, None), |o| (o.query_api, o.grpc, o.cluster));
    let fronts = usize::from(config.platform.is_some())
        + usize::from(query_api.is_some())
        + usize::from(grpc.is_some());
    let members = fleet.as_ref().map_or(0, ClusterNode::required_descriptors);
    let all = config.sockets.saturating_sub(RESERVED + members).max(LEAST_SHARED) / fronts.max(1);
    let acceptor = |descriptors: Rc<Descriptors>| {
        Acceptor::new(executor.clone(), closing.clone(), descriptors, log.clone())
    };
    // The fronts of the operator's file keep theirs by themselves: the share that is always there for them.
    let apart = Descriptors::new(all);
    let mut accepted = Vec::new();
    // SIGKILL goes by the platform's settings; nobody sends it where there is no platform.
    let platform_longest = config.platform.as_ref().map(|p| longest(&p.deployment.settings));
    // The last address told is the one that counts.
    let (moved, moves) = async_channel::bounded(1);

    if let Some(platform) = config.platform {
        // First of all what may end the start: nothing is logged before it.
        platform.known()?;
        let listener = listen(platform.listen).await?;
        let told = Rc::new(platform.deployment.clone());
        let descriptors = Rc::new(Descriptors::new(all));
        let nodes = DataNodes::new((*told).clone(), descriptors.clone(), executor.clone(), log.clone());
        let settings = told.over_sockets();
        let core = Coordinator::new(settings, config.seed, told.max_open, executor.clone(), nodes.clone())
            .map_err(ConfigError::Settings)?;
        let how = (told.settings.discovery, told.zones.clone());
        let discovery =
            Discovery::new(platform.discovery, moves, core.clone(), nodes, how, config.seed, log.clone());
        let address = listener.get_ref().local_addr().unwrap_or(platform.listen);
        info!(log, "listening"; "name" => &platform.name, "address" => %address);
        let (open, said) = Default::default();
        let (core_of, closing_of) = (core.clone(), closing.clone());
        let front = Rc::new(PlatformApi {
            coordinator: core_of,
            deployment: told,
            closing: closing_of,
            open,
            log: log.clone(),
            log_limiters: said,
        });
        let acceptor = acceptor(descriptors);
        let accept = acceptor.clone().accept(listener, move |client| front.clone().serve(client));
        accepted.push((acceptor, executor.spawn(accept)));
        let follow = async move {
            // Looked at above: what cannot be read has ended the program.
            let known = platform.known().unwrap_or_default();
            discovery.run(known.as_ref()).await
        };
        executor.spawn(follow).detach();
        executor.spawn(core.clone().run()).detach();
        executor.spawn(count(core, "platform", log.clone())).detach();
    }

    // Made before the fronts, which ask it, and begun after them: they execute what it hands out.
    let listen_at = fleet.as_ref().map(|setup| setup.listen);
    let fleet = fleet.map(|setup| ClusterNode::new(&setup, &log));
    let mut searching = Duration::ZERO;

    if let Some(setup) = query_api {
        searching = longest(&setup.deployment.settings);
        let address = setup.listen;
        let front = opensearch::start(setup, config.seed, apart.kept(), &executor, &closing, &log)
            .map_err(ConfigError::Start)?;
        if let Some(fleet) = &fleet {
            front.join(fleet.clone(), &executor);
        }
        let listener = listen(address).await?;
        info!(log, "query API listening"; "address" => %listener.get_ref().local_addr().unwrap_or(address));
        executor.spawn(count(front.coordinator.clone(), "query API", log.clone())).detach();
        let acceptor = acceptor(Rc::new(Descriptors::new(all)));
        let accept = acceptor.clone().accept(listener, move |client| front.clone().serve(client));
        accepted.push((acceptor, executor.spawn(accept)));
    }

    let mut routed = None;
    if let Some(setup) = grpc {
        let address = setup.listen;
        let front = grpc::start(setup, config.seed, apart.kept(), &executor, &closing, &log)
            .map_err(ConfigError::Start)?;
        routed = Some(front.clone());
        let listener = listen(address).await?;
        info!(log, "gRPC listening"; "address" => %listener.get_ref().local_addr().unwrap_or(address));
        executor.spawn(count(front.coordinator.clone(), "gRPC", log.clone())).detach();
        let acceptor = acceptor(Rc::new(Descriptors::new(all)));
        let accept = acceptor.clone().accept(listener, move |client| front.clone().serve(client));
        accepted.push((acceptor, executor.spawn(accept)));
    }

    if let (Some(fleet), Some(address)) = (&fleet, listen_at) {
        fleet.start(listen(address).await?, &executor);
        executor.spawn(count_fleet(fleet.clone(), log.clone())).detach();
    }

    let mut request = signals.next().await;
    // A new configuration moves the watch on discovery, the operator's file replaces the routes; one that cannot be used
    // changes nothing. What is asked for meanwhile goes before it.
    while request == Request::Reload {
        let reread = async {
            reread(file.as_deref(), routed.as_deref(), &moved, &log).await;
            None
        };
        let next = async { Some(signals.next().await) };
        request = match reread.or(next).await {
            Some(request) => request,
            None => signals.next().await,
        };
    }
    let told_at = Instant::now();
    closing.begin(told_at, platform_longest);
    let held: usize = accepted.iter().map(|(a, _)| a.held()).sum();
    info!(log, "stopping"; "connections" => held);
    Timer::at(told_at + STILL_COMING).await;
    closing.stop_keep_alive();
    if let Some(fleet) = &fleet {
        fleet.start_draining();
    }
    let ended = async {
        for (acceptor, task) in accepted {
            task.await;
            while acceptor.held() > 0 {
                let freed = acceptor.freed.listen();
                if acceptor.held() > 0 {
                    freed.await;
                }
            }
        }
        // What is executed here for clients of other members; at its end it is over, or another member's.
        if let Some(fleet) = &fleet {
            fleet.wait_until_idle(told_at.checked_add(searching).unwrap_or(told_at)).await;
        }
    };
    // Guards the end against clients that don't read: SIGKILL would come before it.
    let whole = match closing.end() {
        Some(end) => timeout_at(end, ended).await.is_some(),
        None => {
            ended.await;
            true
        }
    };
    if !whole {
        warn!(log, "connections left at the end");
    }
    info!(log, "stopped");
    // The log's last lines leave by a thread of their own; nobody waits for it longer than this.
    Timer::at(Instant::now() + Duration::from_millis(20)).await;
    Ok(())
}

/// Take over what the files say now.
async fn reread(file: Option<&Path>, routed: Option<&grpc::Front>, moved: &Sender<SocketAddr>, log: &Logger) {
    if file.is_none() || std::env::var_os("RELAY_CONFIG").is_some() {
        match platform::discovery().await {
            Ok(address) => {
                info!(log, "configuration reread"; "discovery" => %address);
                let _ = moved.force_send(address);
            }
            Err(e) => warn!(log, "configuration not reread"; "error" => %e),
        }
    }
    if let (Some(file), Some(front)) = (file, routed) {
        let read = OperatorConfig::read(file).map_err(|e| e.to_string());
        let rows = read.map(|o| o.grpc.map(|g| g.rows).unwrap_or_default());
        match rows.and_then(|rows| front.reread(&rows).map(|()| rows.len()).map_err(|e| e.what)) {
            Ok(rows) => info!(log, "routes reread"; "routes" => rows),
            Err(e) => warn!(log, "routes not reread"; "error" => e),
        }
    }
}

/// The longest deadline of all classes.
fn longest(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    Duration::try_from_secs_f64(longest).unwrap_or(Duration::MAX)
}

async fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ConfigError> {
    socket::listen(address).await.map_err(|e| ConfigError::Listen(address, e))
}

async fn count<T: Transport>(core: Rc<Coordinator<T>>, front: &'static str, log: Logger) {
    loop {
        Timer::at(Instant::now() + COUNTS_EVERY).await;
        info!(log, "counts"; "front" => front, "so far" => ?core.counts(), "open" => core.open(), "replicas" => core.known_replicas(),
            "permits" => ?invariants::counts());
    }
}

async fn count_fleet(fleet: Rc<ClusterNode>, log: Logger) {
    loop {
        Timer::at(Instant::now() + COUNTS_EVERY).await;
        info!(log, "fleet counts"; "so far" => ?fleet.counters(), "dropped" => fleet.dropped_frames());
    }
}
