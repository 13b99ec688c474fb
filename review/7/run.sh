#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption, which must pass.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
program=build-review-2/stale_seeds
if [[ ! -x $program || ! -x target/bin/hickorykeel-gateway ]]; then
  echo "build first: the deploy file, then review/build-2.sh" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# the program ends the processes that it has started, also if it is told to end
timeout --kill-after=3 115 "$program" "${RECORD:-review/7/record.txt}"
status=$?
if [[ $status -gt 1 ]]; then exit 2; fi
exit "$status"
