#!/bin/bash
# Builds the stand-ins and checks that the scripts review/6 and later start.
set -eu
cd "$(dirname "$0")/.."
export CARGO_NET_OFFLINE=true
cargo build --release --locked --manifest-path review/second/Cargo.toml --target-dir target/review-second
