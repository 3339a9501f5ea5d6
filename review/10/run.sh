#!/usr/bin/env bash
# Case 10, after the build of the deploy file and review/build-2.sh. Exit code 1: the rule was broken; 0: it held; 2: it could not run.
# TROUBLE=0: the same without the disruption. What was sent, answered and run is written to record.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/review/faults" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$root/target/review/faults" slow-feed "$root" "$here/record.txt"
