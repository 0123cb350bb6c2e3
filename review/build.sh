#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs rustc alone: no package and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
  case=$(basename "$source" .rs)
  [ "$case" = common ] || rustc --edition 2021 -O "$source" -o "target/review/$case"
done
