#!/bin/sh
# Builds what the scripts start besides the build of the deploy file: the stand-ins are
# Python modules, so it checks that each one compiles and imports with target/deps alone.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$root/target/deps:$root" exec python3 - <<'PY'
import importlib
from pathlib import Path

for name in (
    "standins.metadata_store",
    "standins.platform_replica",
    "standins.store_view",
    "soak.proxy",
    "soak.cluster",
    "review.support.processes",
):
    importlib.import_module(name)
for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
