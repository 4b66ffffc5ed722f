#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/standins2"
exec cargo build --release --offline
