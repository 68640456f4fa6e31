#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases 4 to 8. Needs no network after the build of the deploy file,
# which has downloaded the dependencies.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
