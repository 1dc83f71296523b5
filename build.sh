#!/usr/bin/env bash
# The one build script of knapweedloft. `./build.sh help` lists the verbs.
set -euo pipefail
cd "$(dirname "$0")"

BUILD_DIR=${BUILD_DIR:-build}
JOBS=${JOBS:-$(nproc)}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

PACKAGES=(g++ clang cmake ninja-build clang-format clang-tidy ccache pkg-config
  libabsl-dev libflatbuffers-dev libboost-dev libtoml11-dev libmicrohttpd-dev
  libcurl4-gnutls-dev libgnutls28-dev libhttp-parser-dev libcli11-dev libfmt-dev liburcu-dev
  nlohmann-json3-dev libgtest-dev libgmock-dev libbenchmark-dev)

usage() {
  cat <<'TEXT'
usage: ./build.sh VERB [options]

  install   install the Debian packages that the build needs (as root)
  build     configure and compile everything into build/
  test      format check, linter and all tests
  format    rewrite the sources with clang-format
  lint      format check and linter only
  generate  regenerate the committed FlatBuffers code
  demo      start a small site, send traffic, withdraw a key and a data centre
  bench     added latency, throughput and memory; the policy benchmarks
  faults    the table of fault cases for the decisions under load
  fleet     convergence, keys, rates and withdrawals on a fleet of daemons
  ledger    joined ledgers of callers and targets under injected faults
  capacity  the slopes behind docs/CAPACITY.md
  soak      real daemons disturbed from outside; their promises checked
  fuzz      the parsers that face a network, under sanitizers
TEXT
}

installPackages() {
  local MISSING=()
  for PACKAGE in "${PACKAGES[@]}" "$@"; do
    dpkg-query -W -f='${Status}' "$PACKAGE" 2>/dev/null |
      grep -q 'ok installed' || MISSING+=("$PACKAGE")
  done
  [ ${#MISSING[@]} -eq 0 ] && return
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${MISSING[@]}" >/dev/null
}

build() {
  cmake -S . -B "$BUILD_DIR" -G Ninja -DKNAPWEEDLOFT_WERROR=ON "$@" >/dev/null
  cmake --build "$BUILD_DIR" -j "$JOBS" -- --quiet
}

sources() {
  git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' |
    grep -v /generated/
}

lint() {
  tools/lint/names.sh
  sources | xargs clang-format --dry-run --Werror
  # Unchanged files are skipped: a stamp holds the hash of what clang-tidy read.
  sources | grep '\.cpp$' | grep -v /fuzz/ |
    xargs -P "$JOBS" -n 1 tools/lint/tidy.sh "$BUILD_DIR"
}

# The names of tests that KNOWN-RED.txt lists, as one regular expression; what
# no test is called if there are none.
knownRed() {
  local NAMES=
  [ -e KNOWN-RED.txt ] &&
    NAMES=$(sed -n 's/^ctest: *//p' KNOWN-RED.txt | sed 's/[.]/[.]/g' | paste -sd'|')
  echo "^(${NAMES:-none})\$"
}

runTests() {
  local RED
  RED=$(knownRed)
  if [ -e KNOWN-RED.txt ]; then
    echo "Known failures, run but not counted:"
    ctest --test-dir "$BUILD_DIR" -j "$JOBS" -R "$RED" | grep -E '^ *[0-9]+/' || true
  fi
  ctest --test-dir "$BUILD_DIR" --output-on-failure -j "$JOBS" -E "$RED" "$@"
}

runProgram() {
  installPackages
  build
  "$BUILD_DIR/bin/$@"
}

VERB=${1:-help}
[ $# -gt 0 ] && shift
case "$VERB" in
install) installPackages ;;
build) installPackages && build ;;
format) sources | xargs clang-format -i ;;
lint) installPackages && build && lint ;;
test)
  installPackages
  build
  lint
  runTests "$@"
  ;;
generate)
  installPackages flatbuffers-compiler
  for SCHEMA in libs/*/schema/*.fbs; do
    LIBRARY=$(basename "$(dirname "$(dirname "$SCHEMA")")")
    flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api \
      -o "libs/$LIBRARY/include/$LIBRARY/generated" "$SCHEMA"
  done
  ;;
demo | faults | fleet | ledger | capacity | bench | fuzz | soak)
  if [ -x "tools/$VERB/run.sh" ]; then
    installPackages
    exec "tools/$VERB/run.sh" "$@"
  fi
  runProgram "knapweedloft-$VERB" "$@"
  ;;
help | --help | -h) usage ;;
*)
  usage >&2
  exit 2
  ;;
esac
