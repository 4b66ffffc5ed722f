//! The command line of a coordinator process: parses arguments, then starts the server or prints what a command shows.
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;

use marlgap::cli::{self, Cli, Command};
use marlgap::config::platform;
use marlgap::server::{self, ServeError, SignalHandlers};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match execute(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("marlgap: {e}");
            ExitCode::FAILURE
        }
    }
}

fn execute(cli: &Cli) -> Result<(), Box<dyn Error>> {
    match &cli.command {
        None => serve(None, cli)?,
        Some(Command::Serve { config }) => serve(Some(config), cli)?,
        Some(Command::Check { config }) => print!("{}", cli::check(config)?),
        Some(Command::Routes { config, call, metadata, message }) => {
            print!("{}", cli::routes(config, call.as_deref(), metadata, message.as_deref())?);
        }
    }
    Ok(())
}

/// Serve until a signal ends it. The order is that of [`server`]: signals first, and no log line before the
/// configuration is read.
fn serve(operator_file: Option<&Path>, cli: &Cli) -> Result<(), ServeError> {
    let signals = SignalHandlers::register()?;
    let config = platform::read(operator_file)?;
    let log = cli::log::open(cli.log_format, cli.log_level);
    server::run(config, operator_file.map(Path::to_owned), signals, log)
}
