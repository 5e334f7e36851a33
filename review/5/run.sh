#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt in this folder. With TROUBLE=0 the disruption is left out.
# The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
number=$(basename "$folder")
export TROUBLE="${TROUBLE:-1}"
cd "$folder/../.." || exit 2
[ -x "target/review/case-$number" ] || exit 2
exec "target/review/case-$number" "$folder/record.txt"
