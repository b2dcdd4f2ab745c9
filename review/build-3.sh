#!/usr/bin/env bash
# Builds the stand-ins of the third review. They use the standard library only, so that nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/kit review/kit-3/main.rs
