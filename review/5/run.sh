#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
exec timeout -k 5 118 python3 case.py
