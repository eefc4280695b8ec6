#!/bin/sh
# Runs this case. Exit 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/brassglade" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
"$program" "$root" "$here" "$folder" &
judge=$!
# The controllers end with the judge that started them.
trap 'kill -9 $judge 2>/dev/null' INT TERM HUP
wait $judge
code=$?
[ -n "$KEEP_LOG" ] && cp "$folder/controllers.log" "$KEEP_LOG"
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
