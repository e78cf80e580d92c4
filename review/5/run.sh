#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the restart and with a store at its usual speed. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
export TROUBLE="${TROUBLE:-1}"
export UV_USE_IO_URING=0 PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$root/target/deps:$root" exec python3 "$here/case.py"
