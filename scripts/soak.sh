#!/usr/bin/env bash
# Runs programs on a deployment under random faults and checks all guarantees. Keeps the logs when a check fails.
# Usage: scripts/soak.sh [--seconds N] [--seed S]
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build
folder=$(mktemp -d)
if "$BUILD/tests/soak" --binaries "$BUILD" --folder "$folder" "$@"; then
    rm -rf "$folder"
else
    echo "soak failed; the logs are in $folder"
    exit 1
fi
