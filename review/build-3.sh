#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the relay: the rig, which holds all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -trimpath -o target/review-rig ./review/_rig
