//! The command line of the bench, and what of it cannot be used.
use std::ffi::OsString;
use std::path::PathBuf;

use clap::Parser;

/// Slopes of cost along each axis of size, and what they come to at the operators' size.
#[derive(Clone, Debug, Parser)]
#[command(name = "scale")]
pub struct Options {
    /// Share of the target sizes, over 0 and at most 1, for a quick look.
    #[arg(long, default_value_t = 1.0)]
    pub size: f64,
    /// One run alone, by its name.
    #[arg(long)]
    pub only: Option<String>,
    /// Write all rows there as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write the tables there as Markdown.
    #[arg(long)]
    pub markdown: Option<PathBuf>,
    /// The most memory that a run may need, in MB; half of the machine's where nothing is said.
    #[arg(long = "memory-mb")]
    pub memory_mb: Option<u64>,
    /// Given by `cargo bench`; nothing is measured without it.
    #[arg(long, hide = true)]
    pub bench: bool,
}

/// Why a call of the bench cannot be served. Each is told in one line.
#[derive(Clone, Debug, PartialEq)]
pub enum OptionsError {
    /// What the command line's parser says.
    Unusable(String),
    /// Help was asked for: the text, which is no error.
    Help(String),
    Size(f64),
    NoSuchRun {
        name: String,
        names: Vec<String>,
    },
    /// The run's estimate is over the bound.
    TooLarge {
        run: String,
        needs_mb: u64,
        bound_mb: u64,
    },
    /// The machine's memory is not told.
    UnknownMemory,
}

impl std::fmt::Display for OptionsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OptionsError::Unusable(why) => write!(f, "unusable options: {why}"),
            OptionsError::Help(text) => f.write_str(text),
            OptionsError::Size(size) => write!(f, "--size {size} is not over 0 and at most 1"),
            OptionsError::NoSuchRun { name, names } => {
                write!(f, "--only {name} is no run; there are {}", names.join(", "))
            }
            OptionsError::TooLarge { run, needs_mb, bound_mb } => {
                write!(f, "run {run} would need some {needs_mb} MB, over the bound of {bound_mb} MB")
            }
            OptionsError::UnknownMemory => f.write_str("the machine's memory is not told; give --memory-mb"),
        }
    }
}

impl std::error::Error for OptionsError {}

impl Options {
    /// The command line, its first word the program's name.
    pub fn read<T: Into<OsString> + Clone>(
        args: impl IntoIterator<Item = T>,
    ) -> Result<Options, OptionsError> {
        let options = Options::try_parse_from(args).map_err(|e| match e.kind() {
            clap::error::ErrorKind::DisplayHelp => OptionsError::Help(e.to_string()),
            _ => OptionsError::Unusable(first_line(&e.to_string())),
        })?;
        if !(options.size > 0.0 && options.size <= 1.0) {
            return Err(OptionsError::Size(options.size));
        }
        Ok(options)
    }

    /// A share of a target size, at least `least`.
    pub fn scaled(&self, target: f64, least: f64) -> f64 {
        (target * self.size).round().max(least)
    }

    /// Five sizes or more up to a share of the target: these parts of it, each a whole number and none twice.
    pub fn sizes(&self, target: f64, least: f64) -> Vec<f64> {
        let mut sizes: Vec<f64> =
            [0.02, 0.1, 0.25, 0.5, 0.75, 1.0].iter().map(|part| self.scaled(target * part, least)).collect();
        sizes.dedup();
        let mut next = sizes.last().copied().unwrap_or(least);
        while sizes.len() < 5 {
            next += 1.0;
            sizes.push(next);
        }
        sizes
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().trim_start_matches("error: ").to_owned()
}
