#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one program without dependencies.
set -eu
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2024 -O -D warnings -o target/stand-in stand-ins/main.rs
