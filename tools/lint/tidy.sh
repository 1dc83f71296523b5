#!/usr/bin/env bash
# tidy.sh BUILD_DIR FILE: runs clang-tidy on FILE unless the same input passed
# before. The input is the preprocessed file's dependencies, by content.
set -euo pipefail
BUILD_DIR=$1
FILE=$2
STAMPS=${XDG_CACHE_HOME:-$HOME/.cache}/knapweedloft-tidy
mkdir -p "$STAMPS"
HASH=$({
  cat .clang-tidy "$FILE"
  # -MG: a header that is not found must not end the script without a word.
  g++ -std=c++20 -MM -MG $(printf -- '-I%s ' libs/*/include tools/*/include platform/include platform/standins/include) \
    -I"$(dirname "$FILE")" -I"$(dirname "$FILE")/../src" \
    -I"$(dirname "$FILE")/../include" "$FILE" 2>/dev/null |
    tr ' \\' '\n\n' | grep -E '^(libs|apps|tools|platform)/' | sort -u | xargs -r cat
} | sha256sum | cut -d' ' -f1)
STAMP=$STAMPS/$HASH
[ -e "$STAMP" ] && exit 0
if OUTPUT=$(clang-tidy --quiet -p "$BUILD_DIR" "$FILE" 2>&1); then
  touch "$STAMP"
else
  echo "$OUTPUT" >&2
  exit 1
fi
