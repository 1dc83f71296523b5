#!/usr/bin/env bash
# run-2.sh N: runs the script of case N. Ends with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/.."
NUMBER=$1
PROGRAM=target/bin/knapweedloft
DRIVER=target/review-2/case-$NUMBER
if [ ! -x "$PROGRAM" ] || [ ! -x "$DRIVER" ]; then
  echo "build by deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
RECORD=review/$NUMBER/record.txt
timeout 118 "$DRIVER" "$PROGRAM" deploy/settings.toml "$FOLDER" "$RECORD" \
  "${TROUBLE:-1}"
STATUS=$?
tail -n 1 "$RECORD"
case $STATUS in
0 | 1) exit $STATUS ;;
*) exit 2 ;;
esac
