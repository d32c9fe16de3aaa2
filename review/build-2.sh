#!/usr/bin/env bash
# Builds the stand-ins and the judges of the cases in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/probe ./review/_probe
go test -c -o target/trial ./review/_trial
