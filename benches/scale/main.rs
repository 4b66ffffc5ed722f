//! What a coordinator, its data plane and control cost at the operators' size, along one axis of size at a time:
//!
//! ```sh
//! cargo bench --bench scale                                   # all runs at full size
//! cargo bench --bench scale -- --only module --size 0.1       # one run, at a tenth of the sizes
//! cargo bench --bench scale -- --json rows.json --markdown tables.md
//! ```
//!
//! Every cost comes from the program's own code. A row holds its points, the line through them with its error, what
//! that comes to at the target and how many times the bound that is; the page is `docs/CAPACITY.md`.
mod client;
mod control;
mod fit;
mod hollow;
mod listing;
mod meetings;
mod module;
mod options;
mod plan;
mod report;
mod sockets;
mod standin;
mod state;
mod table;
mod target;
mod walk;

use std::path::Path;
use std::process::ExitCode;

use options::{Options, OptionsError};
use plan::Run;
use report::Report;

/// All runs, in the order of the page.
const RUNS: &[Run] = &[
    Run { name: "module", estimate_mb: module::estimate_mb, run: module::run },
    Run { name: "listing", estimate_mb: listing::estimate_mb, run: listing::run },
    Run { name: "state", estimate_mb: state::estimate_mb, run: state::run },
    Run { name: "meetings", estimate_mb: meetings::estimate_mb, run: meetings::run },
    Run { name: "sockets", estimate_mb: sockets::estimate_mb, run: sockets::run },
    Run { name: walk::NAME, estimate_mb: walk::estimate_mb, run: walk::run },
    control::LOG,
    control::LIST,
    control::WORKS,
    control::FOUNDING,
];

/// How a page of tables begins.
const TITLE: &str = "# Tables of the scale bench\n\nWritten by the bench; what they say is in [CAPACITY.md](CAPACITY.md).\n\n";

fn main() -> ExitCode {
    match begin() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Options(OptionsError::Help(text))) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("scale: {failure}");
            ExitCode::FAILURE
        }
    }
}

/// Why the bench ended without its report.
enum Failure {
    Options(OptionsError),
    Write(std::path::PathBuf, std::io::Error),
    Json(serde_json::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Options(e) => write!(f, "{e}"),
            Failure::Write(path, e) => write!(f, "cannot write {}: {e}", path.display()),
            Failure::Json(e) => write!(f, "cannot write the rows: {e}"),
        }
    }
}

fn begin() -> Result<(), Failure> {
    let options = Options::read(std::env::args_os()).map_err(Failure::Options)?;
    let machine = std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| plan::machine_mb(&text));
    let planned = plan::plan(&options, RUNS, machine).map_err(Failure::Options)?;
    // `cargo test --benches` and the like only look whether it builds.
    if !options.bench {
        return Ok(());
    }
    let mut report = Report::new(options.size);
    for run in planned {
        eprintln!("run {}, some {} MB at most", run.name, (run.estimate_mb)(&options));
        report.begin(run.name);
        let begun = std::time::Instant::now();
        (run.run)(&options, &mut report);
        eprintln!("run {} took {:.1} s", run.name, begun.elapsed().as_secs_f64());
    }
    print!("{}", table::text(&report));
    if let Some(path) = &options.json {
        write(path, &report.json().map_err(Failure::Json)?)?;
    }
    if let Some(path) = &options.markdown {
        write(path, &(TITLE.to_owned() + &walk::markdown(&report) + &table::markdown(&report)))?;
    }
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|e| Failure::Write(path.to_owned(), e))
}
