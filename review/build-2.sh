#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/standin-2/bin/standin-2 ./review/standin-2
