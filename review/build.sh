#!/bin/sh
# Builds the stand-ins and drivers of the review's cases. Needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
