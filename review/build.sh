#!/usr/bin/env bash
# Builds the stand-ins of the scripts: checks that each one compiles and can be imported
# with the packages of the build of the deploy file. They are Python, so nothing is kept.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps python3 -c "import ferrydeck.meshd, ferrydeck.standins.main"
PYTHONPATH=review/common python3 -c "import client, server, site_fleet"
for case in review/[0-9]/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$case"
done
