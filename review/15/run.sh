#!/bin/sh
# See claim.txt. TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=target/deps:.:review/support_3 exec python3 "$here/case.py"
