#!/usr/bin/env bash
# A machine loses power while it has requests at the servers; see claim.txt. TROUBLE=0 plays it without the loss.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x bin/review-standin-2 ] && [ -x target/figfront-entry ] || { echo "build first" >&2; exit 2; }
exec bin/review-standin-2 -root . -case darkvm -record review/6/record.txt -trouble="$trouble"
