#!/usr/bin/env bash
# Installs the libraries and the package below target/, with bytecode.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.lock target/requirements.lock; then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --no-deps --target "$deps" \
        -r deploy/requirements.lock
    python3 -m compileall -q -j 0 "$deps"
    cp deploy/requirements.lock target/requirements.lock
fi
rm -rf "$deps/cicadahook"
cp -r src/cicadahook "$deps/"
python3 -m compileall -q "$deps/cicadahook"
