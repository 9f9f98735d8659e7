#!/usr/bin/env bash
# Compiles the stand-ins of the second review with the JDK alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/stand-ins-2/*.java
