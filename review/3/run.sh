#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption (site_fleet.with_trouble).
here="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$here/../common" PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
