#!/usr/bin/env bash
# Installs missing packages, builds, and runs all checks: formatter, linter, model checking, the unit tests with sanitizers, and
# tests.
# Tests listed in KNOWN-RED.txt run and are printed, but don't affect the result.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build

echo "formatter"
find src platform tests -name '*.h' -o -name '*.cpp' | xargs clang-format --dry-run --Werror

echo "linter"
find src platform -name "*.cpp" | xargs -P 4 -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null

echo "models"
scripts/models.sh

echo "sanitizers"
build_sanitized
"$BUILD/sanitized/tests/unit-tests" >"$BUILD/sanitized/unit-tests.log" 2>&1 || {
    tail -n 60 "$BUILD/sanitized/unit-tests.log"
    exit 1
}

echo "tests"
known_failures=$(grep -oE '^test: [^ ]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2 || true)
if [ -n "$known_failures" ]; then
    pattern="^($(echo "$known_failures" | paste -sd'|'))\$"
    echo "known failures (run and printed, not counted):"
    ctest --test-dir "$BUILD" --output-on-failure -R "$pattern" || true
    ctest --test-dir "$BUILD" --output-on-failure -E "$pattern"
else
    ctest --test-dir "$BUILD" --output-on-failure
fi
