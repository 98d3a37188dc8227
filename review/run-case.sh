#!/usr/bin/env bash
# Runs a case of the review: run-case.sh FOLDER CASE. Writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
edge=target/Services/Edge/coltsfootdale-edge
if [ ! -x "$edge" ] || [ ! -x target/review/review-case ]; then
  echo "build with the deploy file's command and review/build.sh first"
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout --kill-after=5 118 target/review/review-case "$2" "$edge" "$work" \
  "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
