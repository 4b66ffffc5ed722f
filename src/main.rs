//! The command line of a coordinator process: parses arguments, then starts the server or prints what a command shows.
use std::error::Error;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;

use marlgap::cli::{self, Cli, Command, DescribedCall};
use marlgap::config::platform::{self, ConfigError};
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
        Some(Command::Check { config }) => print!("{}", cli::describe_config(config)?),
        Some(Command::Routes { config, call, metadata, message }) => {
            let message = message.as_deref();
            let call = call.as_deref().map(|method| DescribedCall { method, metadata, message });
            print!("{}", cli::describe_routes(config, call)?);
        }
    }
    Ok(())
}

/// Serve until a signal ends it. The order is that of [`server`]: signals first, and no log line before the
/// configuration is read.
fn serve(operator_file: Option<&Path>, cli: &Cli) -> Result<(), ServeError> {
    let signals = SignalHandlers::register()?;
    if let Some(file) = operator_file {
        // With the records that it names: at the start bad ones end the process, while later on they change nothing.
        cli::describe_config(file).map_err(ConfigError::Operator)?;
    }
    let config = platform::read(operator_file)?;
    let log = cli::log::open(cli.log_format, cli.log_level);
    server::run(config, operator_file.map(Path::to_owned), signals, log)
}
