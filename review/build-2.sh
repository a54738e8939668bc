#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start besides the nodes. The
# stand-ins are Python of the standard library, so they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - standins-2/bed.py ./[0-9]*/case.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    if "*" not in name:
        compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
CHECK
test -d ../target/deps/cicadahook
