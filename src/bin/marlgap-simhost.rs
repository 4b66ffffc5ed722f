//! Hosts decision modules on the simulator's wire: batches on standard input, replies on standard output.
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::new(stdin().lock());
    let mut output = BufWriter::new(stdout().lock());
    match marlgap::simulator_wire::serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marlgap-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
