#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/review-2/case-8" ] || exit 2
cd "$root" && exec timeout -k 5 110 target/review-2/case-8 "$root" "$folder"
