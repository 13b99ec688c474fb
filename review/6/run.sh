#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/seeds_in_one_region
if [[ ! -x $program || ! -x target/bin/hickorykeel-gateway ]]; then
  echo "build first: the deploy file, then review/build-2.sh" >&2
  exit 2
fi
timeout --kill-after=2 115 "$program" "${RECORD:-review/6/record.txt}"
status=$?
if [[ $status -gt 1 ]]; then exit 2; fi
exit "$status"
