#!/bin/sh
# Builds every stand-in and driver that review/6 to review/10 start, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
