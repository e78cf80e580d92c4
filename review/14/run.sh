#!/bin/sh
# See claim.txt. TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH=target/deps:.:review/support_3
# Without the builds the case cannot run.
python3 -c "import fireflyspread.gateway, harness, programs, views" || exit 2
exec python3 "$here/case.py"
