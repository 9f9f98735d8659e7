#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/gladeknot.jar ] && [ -d target/review/rig ] || { echo "build first: deploy/service.toml, review/build.sh" >&2; exit 2; }
exec java -Xmx2g -cp target/review:target/gladeknot.jar rig.ServiceLosesMachine "$here/record.txt"
