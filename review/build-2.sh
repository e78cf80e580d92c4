#!/bin/sh
# Builds the stand-ins of the scripts of cases 6 to 10, after the build of the deploy
# file. They are Python modules of this repository and need the libraries of target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review/support_2 python3 -c "
import cluster
import soak.proxy
import standins.metadata_store
import standins.platform_replica
import standins.store_view
"
