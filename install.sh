#!/usr/bin/env bash
# Installs the pinned libraries and the workspace's packages into the active Python environment.
set -euo pipefail
cd "$(dirname "$0")"
python -m pip install --quiet --require-hashes -r requirements.txt
python -m pip install --quiet --no-deps --no-build-isolation $(printf -- '-e %s ' packages/*/)
