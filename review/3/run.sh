#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/app/magnoliastream ] && [ -x build-review/case-3 ] || exit 2
timeout -k 2 115 build-review/case-3 review/3
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
