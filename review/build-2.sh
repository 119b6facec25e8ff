#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway: after `build` of deploy/balancer.toml, from any folder.
# The control part and the fleet services need the declared library of requirements-fleet.txt. The stand-ins
# (review/common-2/rig.py) need the standard library alone; they are compiled here.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import click, jsonschema, msgspec' 2>/dev/null || .venv/bin/pip -q install -r requirements-fleet.txt
.venv/bin/python -m compileall -q oakfork review/common-2 review/6 review/7 review/8 review/9 review/10
