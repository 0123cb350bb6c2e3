#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/6 to review/10: one program, the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
