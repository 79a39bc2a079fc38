#!/bin/bash
# Prepares the stand-ins of the cases 6, 7, 8 and 10; case 9 is a
# day for the users' bench. They are scripts for Python's
# standard library, so nothing is compiled; the product comes from the build
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
PY
for case in 6 7 8 10; do
    python3 -m py_compile "$case/case.py"
done
python3 -m py_compile lib-2/deployment.py
rm -rf lib-2/__pycache__ {6,7,8,10}/__pycache__
test -x ../target/cs-fleetd || echo "target/cs-fleetd is not built yet" >&2
