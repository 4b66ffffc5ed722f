//! The runs that a call asks for, and whether the machine's memory allows them.
use crate::options::{Options, OptionsError};
use crate::report::Report;

/// One run of the bench.
pub struct Run {
    pub name: &'static str,
    /// Memory that it will need at most, in MB, by the sizes it is asked for.
    pub estimate_mb: fn(&Options) -> u64,
    pub run: fn(&Options, &mut Report),
}

/// The runs to make, in order. Refused before any of them starts where one may need more memory than it may.
pub fn plan<'a>(
    options: &Options,
    runs: &'a [Run],
    machine_mb: Option<u64>,
) -> Result<Vec<&'a Run>, OptionsError> {
    let wanted = |run: &&Run| options.only.as_ref().is_none_or(|only| only == run.name);
    let planned: Vec<&Run> = runs.iter().filter(wanted).collect();
    if let (true, Some(name)) = (planned.is_empty(), options.only.clone()) {
        let names = runs.iter().map(|run| run.name.to_owned()).collect();
        return Err(OptionsError::NoSuchRun { name, names });
    }
    let bound_mb = options.memory_mb.or(machine_mb.map(|mb| mb / 2)).ok_or(OptionsError::UnknownMemory)?;
    let over = |run: &&&Run| (run.estimate_mb)(options) > bound_mb;
    match planned.iter().find(over) {
        None => Ok(planned),
        Some(run) => {
            let (run, needs_mb) = (run.name.to_owned(), (run.estimate_mb)(options));
            Err(OptionsError::TooLarge { run, needs_mb, bound_mb })
        }
    }
}

/// The machine's memory in MB, from the text of `/proc/meminfo`.
pub fn machine_mb(meminfo: &str) -> Option<u64> {
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kb: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kb / 1024)
}
