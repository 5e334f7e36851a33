# Sourced by the other scripts: changes to the repository's root, and has functions that install missing packages and build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BUILD=build

install_packages() {
    local missing=()
    local package
    for package in $(cat scripts/packages.txt); do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    if [ ${#missing[@]} -gt 0 ]; then
        echo "installing: ${missing[*]}"
        apt-get update -qq
        DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
    fi
}

# Builds the unit tests with the address and undefined-behaviour sanitizers.
build_sanitized() {
    cmake -S . -B "$BUILD/sanitized" -G Ninja -DFLAMINGO_SANITIZE=ON -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" >/dev/null
    ninja -C "$BUILD/sanitized" unit-tests >"$BUILD/sanitized/ninja.log" 2>&1 || {
        grep -E 'error|FAILED' "$BUILD/sanitized/ninja.log" | head -40
        return 1
    }
}

build() {
    cmake -S . -B "$BUILD" -G Ninja >/dev/null
    ninja -C "$BUILD" "$@" >"$BUILD/ninja.log" 2>&1 || {
        grep -E 'error|FAILED' "$BUILD/ninja.log" | head -40
        return 1
    }
}
