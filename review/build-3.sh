#!/usr/bin/env bash
# Compiles each review/*/Trial.cpp with the stand-ins of review/standins-3 into
# target/review-3/. Needs g++ alone. The program under test is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
for SOURCE in review/standins-3/*.cpp; do
  g++ -std=c++20 -O2 -pthread -Ilibs/model/include -c "$SOURCE" \
    -o "$OUT/$(basename "$SOURCE" .cpp).o" &
done
for JOB in $(jobs -p); do
  wait "$JOB"
done
for SOURCE in review/*/Trial.cpp; do
  NUMBER=$(basename "$(dirname "$SOURCE")")
  g++ -std=c++20 -O2 -pthread -Ilibs/model/include "$SOURCE" "$OUT"/*.o \
    -o "$OUT/trial-$NUMBER"
done
