#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Needs the build of the
# deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review Rig StaleGrant review/5
