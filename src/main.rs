//! The entry point of a coordinator process: parses the arguments, then starts the server or prints the
//! output of a command.
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

/// Serves until a signal ends the process. The order of the steps is that of [`server`]: signal handlers
/// are installed first, and nothing is logged before the configuration is read.
fn serve(operator_file: Option<&Path>, cli: &Cli) -> Result<(), ServeError> {
    let signals = SignalHandlers::register()?;
    if let Some(file) = operator_file {
        // Also validates the records that the file refers to. Invalid records end the process at startup,
        // whereas later they are ignored.
        cli::describe_config(file).map_err(ConfigError::Operator)?;
    }
    let config = platform::read(operator_file)?;
    let log = cli::log::open(cli.log_format, cli.log_level);
    server::run(config, operator_file.map(Path::to_owned), signals, log)
}
