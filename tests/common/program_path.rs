//! The program under test, and the library that makes its system calls fail.
use std::path::{Path, PathBuf};

/// Returns the path of the program under test: the one that cargo built, or an earlier build that
/// `MARLGAP_PROGRAM` names, to show that a regression test fails with it.
pub fn program_path() -> String {
    std::env::var("MARLGAP_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_marlgap").to_owned())
}

/// Returns the path of the library to preload, which cargo builds beside the test binaries.
pub fn fault_library() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_marlgap"));
    let library = program.with_file_name("deps").join("libfault_shim.so");
    assert!(library.exists(), "{} is missing", library.display());
    library
}
