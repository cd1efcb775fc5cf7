#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/standin ended review/9/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
