#!/usr/bin/env bash
# Installs the dependencies and the package into target/deps and compiles them to
# bytecode. Each is installed anew only if its lock file or sources changed.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.lock target/requirements.lock; then
    rm -rf target
    mkdir -p target
    python3 -m pip install -q --no-compile --no-deps --target "$deps" \
        -r deploy/requirements.lock
    python3 -m compileall -q -j 0 "$deps"
    cp deploy/requirements.lock target/requirements.lock
fi
sources=$(find src -name __pycache__ -prune -o -type f -print0 |
    sort -z | xargs -0 sha256sum | sha256sum)
if [ "$sources" != "$(cat target/sources.sha256 2>/dev/null)" ]; then
    rm -rf "$deps/cicadahook"
    cp -r src/cicadahook "$deps/"
    python3 -m compileall -q "$deps/cicadahook"
    echo "$sources" > target/sources.sha256
fi
