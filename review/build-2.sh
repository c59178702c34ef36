#!/bin/sh
# Builds the stand-ins of the second review with the Rust compiler alone, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-2 review/stand-ins-2/main.rs
