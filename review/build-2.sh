#!/bin/sh
# Checks that what the scripts of cases 4 to 8 start can be started. They need nothing
# built beyond `target/deps`, the build of the deploy file: all stand-ins are Python.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -m ferrydeck.meshd --help >/dev/null
python3 -m ferrydeck.standins.main store --help >/dev/null
for file in review/shared_2/*.py review/[4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
