#!/usr/bin/env bash
# Installs missing packages, builds, and runs every test. --lint also runs
# Meta/lint.sh. Tests that KNOWN-RED.txt lists in lines "test: NAME" run too and
# are printed, but their failures do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
[ "${1:-}" != "--lint" ] || Meta/lint.sh

known_red=()
if [ -f KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
run_tests=(ctest --test-dir build --output-on-failure)
# Each integration test counts as two processors.
parallel=(--parallel "$(nproc)")
if [ ${#known_red[@]} -eq 0 ]; then
  exec "${run_tests[@]}" "${parallel[@]}"
fi
pattern="^($(IFS='|'; echo "${known_red[*]}"))\$"
"${run_tests[@]}" "${parallel[@]}" -R "$pattern" ||
  echo "known red, see KNOWN-RED.txt: ${known_red[*]}"
"${run_tests[@]}" "${parallel[@]}" -E "$pattern"
