#!/bin/sh
# Builds the stand-ins and clients of the cases; needs a JDK 17 and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java review/[0-9]*/*.java
