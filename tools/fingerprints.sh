#!/usr/bin/env bash
# Compares everything that the controllers of all simulated clusters send with the recorded
# fingerprints. There is one line per cluster and test case; docs/development.md has details.
#
# Usage: tools/fingerprints.sh compare | record
#
# FINGERPRINT_TESTS restricts a run to the named test classes, for a quick comparison.
set -euo pipefail
cd "$(dirname "$0")/.."
recorded=src/test/fingerprints/clusters.txt
measured=$PWD/target/fingerprints.txt
# Property tests generate random schedules, so they have no fixed cases to compare.
tests=$(grep -rlE 'new SimulatedCluster\(|FaultScenarios\.' src/test/java --include='*Test.java' |
  grep -v PropertiesTest | xargs -n 1 basename -s .java | paste -sd, -)
mkdir -p target "$(dirname "$recorded")"
rm -f "$measured"
mvn -q -B test -Dtest="${FINGERPRINT_TESTS:-$tests}" -Dgladeknot.fingerprints="$measured" \
  -Djunit.jupiter.extensions.autodetection.enabled=true -Dsurefire.failIfNoSpecifiedTests=false
LC_ALL=C sort -o "$measured" "$measured"
case "${1:-}" in
  record) cp "$measured" "$recorded" ;;
  compare)
    if [ -n "${FINGERPRINT_TESTS:-}" ]; then
      # Only some test classes ran: each measured line must be among the recorded lines.
      diff <(LC_ALL=C comm -13 "$recorded" "$measured") /dev/null
    else
      diff "$recorded" "$measured"
    fi
    echo "$(wc -l < "$measured") of $(wc -l < "$recorded") clusters measured, all as recorded" ;;
  *) echo "usage: tools/fingerprints.sh compare | record" >&2; exit 2 ;;
esac
