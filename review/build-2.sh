#!/usr/bin/env bash
# Builds what the scripts of the second review start: their stand-ins are Python, so they are only compiled as a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig.py [4-8]/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
