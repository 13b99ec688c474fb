#!/usr/bin/env bash
# Builds the programs of the cases from 6 on into build-review-2/, after the build of the deploy file,
# whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -DASIO_STANDALONE -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
  -I. -Isrc -Iproto)
libraries=(target/libhickorykeel_gateway.a -lhttp_parser -lspdlog -lfmt -lcrypto -lpthread)
world=build-review-2/platform_world.o
g++ "${flags[@]}" -c standins/gateway/platform_world.cpp -o "$world"
for source in review/standins-2/*.cpp; do
  g++ "${flags[@]}" "$source" "$world" "${libraries[@]}" \
    -o "build-review-2/$(basename "$source" .cpp)"
done
