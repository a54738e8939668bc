#!/usr/bin/env bash
# The stand-ins are Python modules that run from their sources, with the
# libraries that deploy/build.sh installs; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
PYTHONPATH="$PWD/../target/deps" PYTHONDONTWRITEBYTECODE=1 python3 -c 'import aiohttp'
