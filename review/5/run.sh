#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/hickorykeel-gateway ] && [ -x target/review/fractional_grace_case ] || exit 2
exec target/review/fractional_grace_case review/5/record.txt
