#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 (read by common/testbed.py) plays the same without the disruption.
set -u
cd "$(dirname "$0")"
export PYTHONPATH="$PWD/../../target/deps:$PWD/../common" PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
