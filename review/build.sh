#!/usr/bin/env bash
# Builds the stand-ins and cases of the review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/gladeknot.jar review/src/rig/*.java
