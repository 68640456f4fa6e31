#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network after the build of the deploy file: the only
# package used is serde_json, in the versions of the project's own lock file.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
