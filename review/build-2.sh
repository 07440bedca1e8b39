#!/bin/sh
# Checks what the scripts of cases 6 to 10 start besides the gateway. The
# stand-ins use Python's standard library only, so there is nothing to build.
# Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps || {
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c \
  'import rig_caller, rig_gateway, rig_http, rig_link, rig_server, rig_store'
