#!/usr/bin/env bash
# Checks that everything that the scripts start can be imported, after the build of
# deploy/system.toml: the project's own stand-ins and the ones beside this file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:platform:review" python3 -c '
import bambootiller_platform_standins.replica
import bambootiller_platform_standins.store
import harness.case
import harness.client
import harness.stores
import harness.world
'
echo "review: stand-ins are importable"
