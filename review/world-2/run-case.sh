#!/usr/bin/env bash
# run-case.sh FOLDER NAME: runs the case NAME of review/world-2 and writes
# record.txt to FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. With TROUBLE=0 there is no disruption.
set -uo pipefail
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=review/world-2/build/$2
edge=target/Services/Edge/coltsfootdale-edge
[ -x "$program" ] && [ -x "$edge" ] || { echo "not built" >&2; exit 2; }
work=$(mktemp -d) || exit 2
# The program ends the balancers that it started, also when it is killed.
timeout -s KILL 118 "$program" "$edge" "$work" "$folder/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$KEEP_LOGS"
fi
rm -rf "$work"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
