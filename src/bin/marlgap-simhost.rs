//! Hosts decision modules for the simulator: reads batches from standard input and writes replies
//! to standard output.
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
