#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3. Needs nothing but
# the compiler: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in quota_pauses query_crash dark_crash silent_stream; do
    rustc --edition 2024 -O -o "target/review-3/$case" "review/standins-3/$case.rs"
done
