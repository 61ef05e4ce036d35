#!/usr/bin/env bash
# Builds the stand-ins of all cases; needs only the Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O standin/main.rs -o bin/standin
