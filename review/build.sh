#!/usr/bin/env bash
# Builds the stand-ins that the cases start into target/review/, with the
# compiler of the deploy file's packages and no library besides its own.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
g++ -std=c++20 -O1 -Wall -Wextra -c -o ../target/review/standins.o \
  standins/Standins.cpp
for CASE in */Case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "../target/review/case${CASE%%/*}" \
    "$CASE" ../target/review/standins.o -pthread
done
