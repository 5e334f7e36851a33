#!/usr/bin/env bash
# Plays the case. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "target/review/case-$number" ] || exit 2
exec "target/review/case-$number" "$folder"
