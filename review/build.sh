#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/cases review/stand-in/main.rs
