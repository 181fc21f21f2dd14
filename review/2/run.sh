#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/run/dotterelcrank.jar ] && [ -f target/review/BudgetCase.class ] || exit 2
logs=$(mktemp -d) || exit 2
java -Djava.io.tmpdir="$logs" -cp target/review BudgetCase review/2
code=$?
rm -rf "$logs"
case $code in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
