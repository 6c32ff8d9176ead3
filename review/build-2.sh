#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: one program without libraries.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-in review/6/stand-in/main.rs
