#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
[ -x target/review-2/case-10 ] && [ -x target/src/flamingo-instance ] || exit 2
exec timeout -k 2 118 target/review-2/case-10
