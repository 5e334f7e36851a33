#!/usr/bin/env bash
# Checks the models with spin. Each model must hold, and each variant, which leaves out or breaks one mechanism, must fail.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# check MODEL EXPECTED [VARIANT]: searches the whole state space of a model and compares the result (holds or fails).
check() {
    local model=$1 expected=$2 variant=${3:-}
    local folder="$scratch/$model-${variant:-plain}"
    mkdir -p "$folder"
    cp "models/$model.pml" "$folder/model.pml"
    (
        cd "$folder"
        spin ${variant:+-D$variant} -a model.pml >spin.log || cat spin.log
        gcc -O2 -DSAFETY -DVECTORSZ=2048 -o pan pan.c 2>gcc.log
        ./pan -m100000 -w22 >pan.log 2>&1 || true
    )
    local result=error
    if grep -q 'errors: 0' "$folder/pan.log"; then
        result=holds
    elif grep -q 'assertion violated' "$folder/pan.log"; then
        result=fails
    fi
    local states
    states=$(grep -oE '[0-9]+ states, stored' "$folder/pan.log" | head -1 || true)
    if grep -q 'error: max search depth' "$folder/pan.log"; then
        echo "model $model ${variant:-as built}: the search reached its depth limit"
        return 1
    fi
    echo "model $model ${variant:-as built}: $result ($states), expected: $expected"
    if [ "$result" != "$expected" ]; then
        tail -20 "$folder/pan.log"
        return 1
    fi
}

check journal holds
for variant in CREATE_IF_ABSENT LOST_IS_FAILURE SEND_BEFORE_CONFIRMED LEASE_ONLY; do
    check journal fails "$variant"
done
check tickets holds
for variant in NO_ORDER LOST_IS_REFUSED SPREAD_BEFORE_APPEND; do
    check tickets fails "$variant"
done
check answers holds
for variant in ACCEPT_ANY_ANSWER ALWAYS_NOT_RUN; do
    check answers fails "$variant"
done
check budget holds
for variant in FREE_FIRST_TURN KEEP_GRANT_ON_RESTART LOST_IS_REFUSED GRANT_AT_BOTH_HOMES GRANT_AFTER_RESTART GRANT_BEFORE_MARK NO_RESERVE; do
    check budget fails "$variant"
done
check witness holds
for variant in USE_BEFORE_NOTED NO_FENCE ANY_TERM SMALL_FIRST_LIMIT UNKNOWN_TERM_IS_NONE MISSING_NOTE_IS_ZERO; do
    check witness fails "$variant"
done
check history holds
for variant in STORE_THEN_ARCHIVES ONE_COPY DELETE_BEFORE_UPLOAD; do
    check history fails "$variant"
done
check quota holds
for variant in NO_WAIT_AFTER_CHANGE NO_WAIT_FOR_OLD_LISTS NO_WAIT_AFTER_START KEEP_AFTER_TRANSFER; do
    check quota fails "$variant"
done
