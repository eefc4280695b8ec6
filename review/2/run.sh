#!/bin/sh
# Runs case 2. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. The controllers and the case must have been built: make build,
# review/build.sh (called here if its output is missing). The script becomes the case's program, which
# ends after 118 seconds at most; the controllers end with it, however it ends.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/brassglade ] || { echo "target/brassglade is missing: make build" >&2; exit 2; }
[ -x target/review/case2 ] || review/build.sh || exit 2
exec target/review/case2 review/2
