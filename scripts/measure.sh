#!/usr/bin/env bash
# Compares the scheduling policy with the baseline under load.
# Usage: scripts/measure.sh --deployment omaruru|kitaezo [--quick] [--rules] [--seed S]
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$BUILD/tests/measure" --binaries "$BUILD" --folder "$folder" "$@"
