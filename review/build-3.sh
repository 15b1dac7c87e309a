#!/usr/bin/env bash
# Prepares the stand-ins of the third review. They are Python programs of the standard library, so nothing is compiled;
# this checks that they can be loaded and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' review/standin-3/*.py review/1[1-5]/*.py
test -x target/waxwing-scheduler || { echo "target/waxwing-scheduler is missing: run the build of deploy/system.toml" >&2; exit 1; }
