#!/bin/bash
# Builds the stand-ins and checks that the scripts review/N/run.sh start.
set -eu
cd "$(dirname "$0")"
cargo build --release --locked --manifest-path Cargo.toml --target-dir target
