#!/usr/bin/env bash
# Builds the scripts' drivers, with the project's own stand-in of the store, into target/review-3. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-3
mkdir -p "$out"
builds=()
for source in review/1[1-5]/*.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O2 -DASIO_STANDALONE -DFLAMINGO_VERSION='"review"' -Isrc -I. -Itests -Ireview/standins-3 "$source" tests/standins/kvstandin.cpp \
        target/src/libflamingo_http.a target/src/libflamingo_core.a -lfmt -lhttp_parser -lcrypto -lpthread -o "$out/case-$number" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
