#!/usr/bin/env bash
# Plays the case of this folder and writes record.txt beside it. With TROUBLE=0 it leaves the disruption out.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] && [ -x target/figfront-entry ] || { echo "not built"; exit 2; }
exec target/review-3/standin-3 stop "${TROUBLE:-1}" review/10/record.txt
