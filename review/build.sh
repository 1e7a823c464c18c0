#!/bin/sh
# Builds the stand-ins of the review's scripts; they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml \
    --target-dir target/review
