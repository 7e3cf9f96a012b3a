#!/usr/bin/env bash
# The stand-ins need the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib

for source in sorted(pathlib.Path(".").rglob("*.py")):
    compile(source.read_text(), str(source), "exec")
P
