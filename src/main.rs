//! One co-ordinator: configuration, signals and wiring.
mod config;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::StreamExt;
use slog::{info, warn, Logger};

use config::{Config, ConfigError};
use marlgap::cli::{self, Cli, Command};
use marlgap::core::{Core, Transport};
use marlgap::interface::News;
use marlgap::net::clients::{self, Acceptor, Closing};
use marlgap::net::descriptors::Descriptors;
use marlgap::net::discovery::Discovery;
use marlgap::net::fleet::Fleet;
use marlgap::net::front::Front;
use marlgap::net::nodes::Nodes;
use marlgap::net::{grpc, opensearch};
use marlgap::operator::{Operator, OperatorError};

/// After SIGTERM, new connections keep coming until the platform's front has noticed.
const STILL_COMING: Duration = Duration::from_millis(550);
/// Time between lines of counts.
const COUNTS_EVERY: Duration = Duration::from_secs(10);
/// Descriptors kept for the listeners, discovery, the log, files and the like.
const RESERVED: usize = 32;
/// The fewest for connections to clients and to what is behind.
const LEAST_SHARED: usize = 16;

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

fn print(text: Result<String, OperatorError>) -> Result<(), ConfigError> {
    text.map(|text| print!("{text}")).map_err(ConfigError::Operator)
}

fn run(operator: Option<&Path>, cli: &Cli) -> Result<(), ConfigError> {
    let config = config::read(operator)?;
    let log = cli::log::open(cli.log_format, cli.log_level);
    let executor = Rc::new(LocalExecutor::new());
    let path = operator.map(Path::to_owned);
    async_io::block_on(executor.run(serve(config, path, executor.clone(), log)))
}

async fn serve(
    config: Config,
    file: Option<PathBuf>,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
) -> Result<(), ConfigError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ConfigError::Signals)?;
    let closing = Rc::new(Closing::default());
    let (query_api, grpc, fleet) =
        config.operator.map_or((None, None, None), |o| (o.query_api, o.grpc, o.fleet));
    let fronts = usize::from(config.platform.is_some())
        + usize::from(query_api.is_some())
        + usize::from(grpc.is_some());
    let members = fleet.as_ref().map_or(0, Fleet::descriptors);
    let all = config.sockets.saturating_sub(RESERVED + members).max(LEAST_SHARED) / fronts.max(1);
    let acceptor = |descriptors: Rc<Descriptors>| {
        Acceptor::new(executor.clone(), closing.clone(), descriptors, log.clone())
    };
    // The fronts of the operator's file keep theirs by themselves: the share that is always there for them.
    let apart = Descriptors::new(all);
    let mut accepted = Vec::new();
    let (moved, moves) = async_channel::unbounded();

    if let Some(platform) = config.platform {
        // First of all what may end the start: nothing is logged before it.
        let known = platform.known()?;
        let listener = listen(platform.listen)?;
        let told = Rc::new(platform.told.clone());
        let descriptors = Rc::new(Descriptors::new(all));
        let nodes = Nodes::new((*told).clone(), descriptors.clone(), executor.clone(), log.clone());
        let settings = told.over_sockets();
        let core = Core::new(settings, config.seed, told.max_open, executor.clone(), nodes.clone())
            .map_err(ConfigError::Settings)?;
        let zones = told.zones.clone();
        let (address, core_of) = (platform.discovery, core.clone());
        let discovery = Discovery { address, moves, core: core_of, nodes, zones, log: log.clone() };
        let mut seq = 0;
        if let Some(known) = known {
            discovery.apply(&known, News::Cached);
            seq = known.seq;
        }
        let address = listener.get_ref().local_addr().unwrap_or(platform.listen);
        info!(log, "listening"; "name" => &platform.name, "address" => %address);
        let (open, said) = Default::default();
        let (core_of, closing_of) = (core.clone(), closing.clone());
        let front = Rc::new(Front { core: core_of, told, closing: closing_of, open, log: log.clone(), said });
        let acceptor = acceptor(descriptors);
        let accept = acceptor.clone().accept(listener, move |client| front.clone().serve(client));
        accepted.push((acceptor, executor.spawn(accept)));
        executor.spawn(core.clone().run()).detach();
        executor.spawn(discovery.watch(seq)).detach();
        executor.spawn(count(core, "platform", log.clone())).detach();
    }

    // Made before the fronts, which ask it, and begun after them: they execute what it hands out.
    let listen_at = fleet.as_ref().map(|setup| setup.listen);
    let fleet = fleet.map(|setup| Fleet::new(&setup, &log));
    let mut longest = 0.0f64;

    if let Some(setup) = query_api {
        longest = setup.told.settings.classes.iter().map(|c| c.deadline).fold(longest, f64::max);
        let address = setup.listen;
        let front = opensearch::start(setup, config.seed, apart.kept(), &executor, &closing, &log)
            .map_err(ConfigError::Start)?;
        if let Some(fleet) = &fleet {
            front.join(fleet.clone(), &executor);
        }
        let listener = listen(address)?;
        info!(log, "query API listening"; "address" => %listener.get_ref().local_addr().unwrap_or(address));
        executor.spawn(count(front.core.clone(), "query API", log.clone())).detach();
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
        let listener = listen(address)?;
        info!(log, "gRPC listening"; "address" => %listener.get_ref().local_addr().unwrap_or(address));
        executor.spawn(count(front.core.clone(), "gRPC", log.clone())).detach();
        let acceptor = acceptor(Rc::new(Descriptors::new(all)));
        let accept = acceptor.clone().accept(listener, move |client| front.clone().serve(client));
        accepted.push((acceptor, executor.spawn(accept)));
    }

    if let (Some(fleet), Some(address)) = (&fleet, listen_at) {
        fleet.begin(listen(address)?, &executor);
        executor.spawn(count_fleet(fleet.clone(), log.clone())).detach();
    }

    let mut signal = signals.next().await;
    // Guards against the signal's default, which ends the program: a new configuration moves the watch on discovery,
    // the operator's file replaces the routes; one that cannot be used changes nothing.
    while let Some(Ok(Signal::Hup)) = signal {
        if file.is_none() || std::env::var_os("RELAY_CONFIG").is_some() {
            match config::discovery() {
                Ok(address) => {
                    info!(log, "configuration reread"; "discovery" => %address);
                    let _ = moved.try_send(address);
                }
                Err(e) => warn!(log, "configuration not reread"; "error" => %e),
            }
        }
        if let (Some(file), Some(front)) = (&file, &routed) {
            let read = Operator::read(file).map_err(|e| e.to_string());
            let rows = read.map(|o| o.grpc.map(|g| g.rows).unwrap_or_default());
            match rows.and_then(|rows| front.reread(&rows).map(|()| rows.len()).map_err(|e| e.what)) {
                Ok(rows) => info!(log, "routes reread"; "routes" => rows),
                Err(e) => warn!(log, "routes not reread"; "error" => e),
            }
        }
        signal = signals.next().await;
    }
    let told_at = Instant::now();
    closing.begun.set(true);
    closing.wake.notify(usize::MAX);
    let held: usize = accepted.iter().map(|(a, _)| a.held()).sum();
    info!(log, "stopping"; "signal" => ?signal.and_then(Result::ok), "connections" => held);
    Timer::at(told_at + STILL_COMING).await;
    closing.idle.set(true);
    closing.wake.notify(usize::MAX);
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
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
        fleet.idle(told_at + Duration::try_from_secs_f64(longest).unwrap_or_default()).await;
    }
    info!(log, "stopped");
    // The log's last lines leave by a thread of their own; nobody waits for it longer than this.
    Timer::at(Instant::now() + Duration::from_millis(20)).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ConfigError> {
    clients::listen(address).map_err(|e| ConfigError::Listen(address, e))
}

async fn count<T: Transport>(core: Rc<Core<T>>, front: &'static str, log: Logger) {
    loop {
        Timer::at(Instant::now() + COUNTS_EVERY).await;
        info!(log, "counts"; "front" => front, "so far" => ?core.counts(), "open" => core.open(), "replicas" => core.known());
    }
}

async fn count_fleet(fleet: Rc<Fleet>, log: Logger) {
    loop {
        Timer::at(Instant::now() + COUNTS_EVERY).await;
        info!(log, "fleet counts"; "so far" => ?fleet.counts(), "dropped" => fleet.dropped());
    }
}
