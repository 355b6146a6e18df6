#!/bin/sh
# Builds the stand-ins of the review's cases, the project's own too. After the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q petrelway review
.venv/bin/python -m petrelway worker --help >/dev/null
.venv/bin/python -m petrelway store --help >/dev/null
.venv/bin/python -c "import petrelway.wire.registry_codec, petrelway.fakes.package_store, petrelway.fakes.platform_peers"
