#!/usr/bin/env bash
# Installs missing packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake -S . -B build -G Ninja >build.log.tmp 2>&1 ||
  { cat build.log.tmp; rm -f build.log.tmp; exit 1; }
rm -f build.log.tmp
cmake --build build "$@"
