#!/bin/sh
# The stand-ins are Python files of the standard library alone: nothing is compiled or downloaded. This checks that the
# interpreter that the deploy file's `build` leaves can read them.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "review/build.sh: run the deploy file's build first" >&2; exit 1; }
for file in review/common/*.py review/[0-9]/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
