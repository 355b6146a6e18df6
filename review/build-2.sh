#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: all stand-ins are Python modules of this repository.
# After the build of deploy/balancer.toml, from the root; needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q petrelway
.venv/bin/python -m compileall -q review/parts-2
for case in review/6 review/7 review/8 review/9 review/10; do
    test ! -f "$case/case.py" || .venv/bin/python -m compileall -q "$case/case.py"
done
