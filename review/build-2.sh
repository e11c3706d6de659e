#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on: one program a case, with the toolchain alone and no libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.rs; do
  case=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$case" "$source"
done
