#!/usr/bin/env bash
# Builds the stand-ins and the programs that play the cases into review/bin. It needs Go alone and fetches nothing. The router is
# built before, by the "build" of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/ ./case...
