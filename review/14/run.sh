#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build-3.sh. KEEP=1 keeps what the processes have printed.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/run/dotterelcrank.jar ] && [ -f target/review-3/review3/LargeVersion.class ] || exit 2
timeout -k 3 112 java -Xmx512m -cp target/review-3 review3.LargeVersion review/14
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
