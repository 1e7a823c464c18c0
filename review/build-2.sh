#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-2
