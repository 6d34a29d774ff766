#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the project's programs:
# stand-ins in Python, which only have to compile. They use target/deps, the build of
# the deploy file, and add no dependency.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
check='
import pathlib, sys
for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
sys.path[:0] = ["target/deps", "platform", "review/harness-2"]
import bambootiller_platform_standins.store, engine, world
'
PYTHONDONTWRITEBYTECODE=1 python3 -c "$check" platform/bambootiller_platform_standins review/harness-2 review/6 review/7 review/8 review/9 review/10
