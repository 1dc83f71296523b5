#!/usr/bin/env bash
# The platform's own names stay inside platform/. Fails with the lines that do
# not.
set -u
cd "$(dirname "$0")/../.."
NAMES='Attempt-Id|Deadline-Ms|Expected-Instance|Response-Signature|Not-Executed|Caller-Service|Server-Load|Cold-Ms|Instance-Id|keyed\.op|/v1/log-|coldRemainingS|apiKeys|pathPrefix|targetLatencyS|trafficSplit|/v1/instances|/v1/readiness|appAddress'
if git grep -nE "$NAMES" -- libs apps tools ':!tools/lint/names.sh'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
