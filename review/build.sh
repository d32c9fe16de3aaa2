#!/usr/bin/env bash
# Builds the program with the stand-ins of all cases. The relay itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-case ./review/_case
