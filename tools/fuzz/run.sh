#!/usr/bin/env bash
# run.sh [--seed N] [--runs N] [--seconds N]: fuzzes each parser that faces a
# network, starting from tools/fuzz/corpus, under the address and undefined
# behaviour sanitizers. Ends with one line of figures.
set -euo pipefail
cd "$(dirname "$0")/../.."

SEED=1
LIMIT=(-runs=20000)
while [ $# -gt 0 ]; do
  case "$1" in
  --seed) SEED=$2 ;;
  --runs) LIMIT=("-runs=$2") ;;
  --seconds) LIMIT=("-max_total_time=$2") ;;
  *)
    echo "usage: run.sh [--seed N] [--runs N] [--seconds N]" >&2
    exit 2
    ;;
  esac
  shift 2
done

SUBJECTS=(Frame Record Image Resource Settings Announcement Answer)
FLAGS="-fsanitize=address,undefined,fuzzer-no-link -fno-sanitize-recover=undefined"
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
  -DKNAPWEEDLOFT_FUZZ=ON -DCMAKE_CXX_FLAGS="$FLAGS -Wno-error" >/dev/null
cmake --build build-fuzz -j "${JOBS:-$(nproc)}" --target "${SUBJECTS[@]/#/fuzz-}" -- --quiet

FAILED=0
for SUBJECT in "${SUBJECTS[@]}"; do
  WORK=build-fuzz/work/$SUBJECT
  mkdir -p "$WORK" "tools/fuzz/corpus/$SUBJECT"
  if build-fuzz/bin/fuzz-"$SUBJECT" -seed="$SEED" "${LIMIT[@]}" -max_len=4096 \
    -artifact_prefix="$WORK/" -print_final_stats=1 "$WORK" \
    "tools/fuzz/corpus/$SUBJECT" >"$WORK.log" 2>&1; then
    echo "  $SUBJECT: $(grep -o 'number_of_executed_units: *[0-9]*' "$WORK.log" | grep -o '[0-9]*$') runs ok"
  else
    echo "  $SUBJECT: short, see $WORK.log"
    tail -n 5 "$WORK.log"
    FAILED=$((FAILED + 1))
  fi
done
echo "seed=$SEED subjects=${#SUBJECTS[@]} failed=$FAILED"
[ "$FAILED" -eq 0 ]
