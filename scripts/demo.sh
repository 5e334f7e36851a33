#!/usr/bin/env bash
# Builds, then runs a few hundred programs on three instances in two failure domains. Prints the result as the last line.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
install_packages
build
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$BUILD/tests/demo" --binaries "$BUILD" --folder "$folder"
