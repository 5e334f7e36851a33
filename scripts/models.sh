#!/usr/bin/env bash
# Model checking is described in docs/models.md.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
