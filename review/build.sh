#!/usr/bin/env bash
# Checks that the stand-ins, which are Python programs without dependencies, can be started.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py */case.py; do
    /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
