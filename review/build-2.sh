#!/usr/bin/env bash
# Builds the programs of this review's scripts, after the build of the deploy file. The stand-ins of store, runners and clients are part of
# these programs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.cpp" ]; then
        "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -I review/standins-2 -o "target/review-2/case-$number" "review/$number/case.cpp" -pthread
    fi
done
