#!/usr/bin/env bash
# Builds the stand-ins of the cases. The daemon is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/kit/main.rs -o target/review/kit
