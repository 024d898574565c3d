#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/review-third. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_NET_OFFLINE=true
cargo build --release --locked --manifest-path review/third/Cargo.toml --target-dir target/review-third
