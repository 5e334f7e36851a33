#!/usr/bin/env bash
# Installs what is needed, builds, and runs all checks: formatter, linter, model checking and tests.
# Tests that KNOWN-RED.txt lists are run and printed, but don't decide the verdict.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build

echo "formatter"
find src platform tests -name '*.h' -o -name '*.cpp' | xargs clang-format --dry-run --Werror

echo "linter"
find src platform -name "*.cpp" | xargs -P 4 -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null

echo "models"
scripts/models.sh

echo "tests"
known=$(grep -oE '^test: [^ ]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2 || true)
if [ -n "$known" ]; then
    pattern="^($(echo "$known" | paste -sd'|'))\$"
    echo "known red (run, printed, not counted):"
    ctest --test-dir "$BUILD" --output-on-failure -R "$pattern" || true
    ctest --test-dir "$BUILD" --output-on-failure -E "$pattern"
else
    ctest --test-dir "$BUILD" --output-on-failure
fi
