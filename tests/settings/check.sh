#!/bin/sh
# Checks that a daemon accepts the example settings and reports each of three mistakes in a settings file.
set -eu
daemon=$1
for file in examples/omaruru/*.toml examples/kitaezo/*.toml; do
    "$daemon" --settings "$file" --check
done
wrong=$(mktemp)
trap 'rm -f "$wrong"' EXIT
sed -e 's/^shards = 14/shards = 0/' -e 's/:7000/:none/' -e 's/^writes_per_second.*/colour = "red"/' examples/omaruru/instance1.toml >"$wrong"
code=0
"$daemon" --settings "$wrong" --check 2>"$wrong.out" || code=$?
cat "$wrong.out"
test "$code" = 3
grep -q 'instance.shards: expected an integer from 1' "$wrong.out"
grep -q 'entry.http: expected an IP address with a port' "$wrong.out"
grep -q 'platform.colour' "$wrong.out"
rm -f "$wrong.out"
"$daemon" --version
"$daemon" --help >/dev/null
