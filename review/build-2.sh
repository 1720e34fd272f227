#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 4 to 8 start, into bin/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../bin/review-standin-2 .
