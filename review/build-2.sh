#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs a C++20
# compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread
  -Ilibs/model/include)
PARTS=()
for SOURCE in review/standins-2/*.cpp; do
  PART=$OUT/$(basename "$SOURCE" .cpp).o
  "${CXX:-g++}" "${FLAGS[@]}" -c "$SOURCE" -o "$PART"
  PARTS+=("$PART")
done
for SOURCE in review/*/Driver.cpp; do
  NUMBER=$(basename "$(dirname "$SOURCE")")
  "${CXX:-g++}" "${FLAGS[@]}" "$SOURCE" "${PARTS[@]}" -o "$OUT/case-$NUMBER"
done
