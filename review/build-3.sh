#!/usr/bin/env bash
# Builds the stand-ins and cases of review/standins-3 into target/review-3. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -Xlint:all -Xlint:-serial -d target/review-3 review/standins-3/review3/*.java
