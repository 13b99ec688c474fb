#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into build-review-3/, after the build of the deploy
# file, whose library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -DASIO_STANDALONE -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
  -I. -Isrc -Iproto)
libraries=(target/libhickorykeel_gateway.a -lhttp_parser -lspdlog -lfmt -lcrypto -lpthread)
world=build-review-3/platform_world.o
g++ "${flags[@]}" -c standins/gateway/platform_world.cpp -o "$world"
for source in review/standins-3/*.cpp; do
  g++ "${flags[@]}" "$source" "$world" "${libraries[@]}" \
    -o "build-review-3/$(basename "$source" .cpp)"
done
