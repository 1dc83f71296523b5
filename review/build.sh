#!/usr/bin/env bash
# Builds the stand-ins that the cases start into target/review/, with the
# compiler of the deploy file's packages without any library.
set -euo pipefail
cd "$(dirname "$0")"
FLAGS=(-std=c++20 -O1 -Wall -Wextra -I../libs/model/include)
mkdir -p ../target/review
g++ "${FLAGS[@]}" -c -o ../target/review/standins.o \
  standins/Standins.cpp
for CASE in */Case.cpp; do
  g++ "${FLAGS[@]}" -o "../target/review/case${CASE%%/*}" \
    "$CASE" ../target/review/standins.o -pthread
done
