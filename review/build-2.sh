#!/bin/sh
# Builds the stand-ins of the second review. They use only the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
