#!/usr/bin/env bash
# The stand-ins of review/standins-3 are Python files that use what the build of
# the deploy file installs; here they are compiled, which shows that all is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/standins-3 \
    python3 -c "import fleet, store, workers"
