#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md uses: memory, CPU time, bytes and store calls at several sizes.
# Usage: scripts/slopes.sh [--only PART]
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build slopes
"$BUILD/tests/slopes" "$@"
