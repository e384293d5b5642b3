#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-stand-in review/main.rs
