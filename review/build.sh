#!/usr/bin/env bash
# Builds the stand-ins of the review: compiles them, and checks that they can be
# imported with the packages of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review"
# No folder of compiled files is left beside the cases.
PYTHONPYCACHEPREFIX="$(mktemp -d)"
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q review berylweir/standin
python3 -c "import backend, cases, clients, deployment, gateways, link, record"
