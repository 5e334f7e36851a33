#!/usr/bin/env bash
# Builds the cases' programs with all stand-ins that they start into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review
mkdir -p "$out"
cmake --build target -j6 --target flamingo_http
flags=(-std=c++17 -O1 -Wall -Wextra -DASIO_STANDALONE -Ireview -Isrc -Itests -I.)
shared=(review/common/harness.cpp tests/harness/childprocess.cpp tests/platform/scriptedendpoint.cpp tests/standins/kvstandin.cpp)
libraries=(target/src/libflamingo_http.a target/src/libflamingo_core.a -lhttp_parser -lfmt -lcrypto -lxxhash -lpthread)
objects=()
for source in "${shared[@]}"; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
done
wait
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "$out/case-$number.o" "${objects[@]}" "${libraries[@]}" -o "$out/case-$number"
done
