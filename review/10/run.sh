#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../../.venv/bin/python"
test -x "$python" || { echo "no .venv: run the build of the deploy file and review/build-2.sh"; exit 2; }
exec "$python" "$here/case.py"
