#!/usr/bin/env bash
# Runs all promises together under random faults: scripts/soak.sh [--seconds N] [--seed S]
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build
folder=$(mktemp -d)
if "$BUILD/tests/soak" --binaries "$BUILD" --folder "$folder" "$@"; then
    rm -rf "$folder"
else
    echo "the logs are in $folder"
    exit 1
fi
