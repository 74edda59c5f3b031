#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
