#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 to 15, after the build of the deploy
# file. They are Python modules of this repository and need the libraries of target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review/support_3 python3 -c "
import harness
import programs
import views
import standins.metadata_store
"
