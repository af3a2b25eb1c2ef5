#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] && [ -x target/src/app/magnoliastream ] || exit 2
exec timeout -k 2 115 target/review-2/case-9 review/9/record.txt
