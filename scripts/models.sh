#!/usr/bin/env bash
# Checks the models with spin: each must hold, and each variant that breaks it on purpose must fail.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL EXPECTED [DEFINE]: runs the whole state space of a model and compares the verdict.
check() {
    local model=$1 expected=$2 define=${3:-}
    local folder="$work/$model-${define:-plain}"
    mkdir -p "$folder"
    cp "models/$model.pml" "$folder/model.pml"
    (
        cd "$folder"
        spin ${define:+-D$define} -a model.pml >spin.log || cat spin.log
        gcc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c 2>gcc.log
        ./pan -m100000 -w22 >pan.log 2>&1 || true
    )
    local verdict=broken
    if grep -q 'errors: 0' "$folder/pan.log"; then
        verdict=holds
    elif grep -q 'assertion violated' "$folder/pan.log"; then
        verdict=fails
    fi
    local states
    states=$(grep -oE '[0-9]+ states, stored' "$folder/pan.log" | head -1 || true)
    if grep -q 'error: max search depth' "$folder/pan.log"; then
        echo "model $model ${define}: the search was cut off"
        return 1
    fi
    echo "model $model ${define:-as built}: $verdict ($states), expected: $expected"
    if [ "$verdict" != "$expected" ]; then
        tail -20 "$folder/pan.log"
        return 1
    fi
}

check journal holds
for variant in CREATE_IF_ABSENT LOST_IS_FAILURE SEND_BEFORE_KNOWN LEASE_ONLY; do
    check journal fails "$variant"
done
check tickets holds
for variant in NO_ORDER LOST_IS_REFUSED PEER_BEFORE_STORE; do
    check tickets fails "$variant"
done
check answers holds
for variant in BY_ARRIVAL ALWAYS_NOT_RUN; do
    check answers fails "$variant"
done
check budget holds
for variant in CREDIT GRANT_KEPT LOST_IS_REFUSED ALL_LEND LEND_AGAIN NO_RESERVE; do
    check budget fails "$variant"
done
check history holds
for variant in STORE_THEN_ARCHIVES ONE_COPY FORGET_FIRST; do
    check history fails "$variant"
done
