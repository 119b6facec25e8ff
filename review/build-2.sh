#!/bin/sh
# Builds what the cases 6 to 10 start, after `build` of deploy/balancer.toml. The control part and the fleet services
# (cases 6 to 9) need the declared library of requirements-fleet.txt, which the deploy file's build does not install; case
# 10 needs nothing more. The stand-ins (review/common-2, the cases) need the standard library alone; they are compiled here.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review/build-2.sh: run the deploy file's build first" >&2; exit 1; }
.venv/bin/python -c 'import click, jsonschema, msgspec' 2>/dev/null || .venv/bin/pip -q install -r requirements-fleet.txt ||
    echo "review/build-2.sh: requirements-fleet.txt is not to be had: the cases 6 to 9 will end with 2" >&2
exec .venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
