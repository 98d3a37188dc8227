#!/usr/bin/env bash
# Installs, builds and runs every test. --lint also checks format and lint.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
[ "${1:-}" = "--lint" ] && Meta/lint.sh
[ -f KNOWN-RED.txt ] && cat KNOWN-RED.txt
ctest --test-dir build --output-on-failure --parallel "$(nproc)"
