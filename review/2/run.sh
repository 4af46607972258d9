#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
[ -f "$here/../target/SilentEngine.class" ] || { echo "run review/build.sh first"; exit 2; }
timeout -k 2 110 java -Xmx256m -cp "$here/../target" SilentEngine "$here"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
