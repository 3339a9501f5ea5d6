#!/bin/bash
# Builds the stand-ins that the scripts start, into target/review. Needs the Rust tool chain and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
