#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/run/dotterelcrank.jar ] && [ -f target/review/BudgetCase.class ] || exit 2
exec java -cp target/review BudgetCase review/2
