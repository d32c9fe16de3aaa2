#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/ibisrelay ] || [ ! -x target/review-case ]; then
  echo "case could not run: build the program of the deploy file and run review/build.sh first"
  exit 2
fi
REVIEW_CASE="review/$(basename "$here")" exec target/review-case
