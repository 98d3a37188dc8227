#!/bin/sh
# Case 11. TROUBLE=0 leaves the two machines connected to the store. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review-3/case-11 ] || exit 2
timeout -k 5 110 target/review-3/case-11 \
  "$PWD/target/Services/Edge/coltsfootdale-edge" "$folder" \
  "$PWD/review/11/record.txt" "${TROUBLE:-1}"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
