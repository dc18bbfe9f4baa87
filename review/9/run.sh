#!/bin/sh
# Plays the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. review/build-2.sh has to have run.
cd "$(dirname "$0")/../.." && test -x review/.venv-2/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. exec review/.venv-2/bin/python review/9/case.py
