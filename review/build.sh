#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases. Needs the Rust compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/case review/standin/main.rs
