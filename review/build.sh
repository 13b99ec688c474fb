#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*_case.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cpp)" \
    "$source" review/standins/{net,world,fleet}.cpp &
done
for job in $(jobs -p); do
  wait "$job"
done
