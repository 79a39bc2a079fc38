#!/bin/bash
# The stand-ins of the cases are Python modules in review/lib; nothing has to
# be compiled. Checks that they can be loaded.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile lib/standin.py ./*/case.py
rm -rf lib/__pycache__ ./*/__pycache__
