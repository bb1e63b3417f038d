#!/bin/sh
# Builds every stand-in that the scripts start: they are Python, so they are only compiled and
# imported, with the libraries that the deploy file's build has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 2; }
PYTHONPATH=target/deps:review exec python3 -B -c "import standins, rackswitch.gateway.standby"
