#!/usr/bin/env bash
# Builds the edge balancer with a fault of Tests/Soak/Faults in a copy of the
# sources, and runs the soak on it. Shows whether the soak finds the fault.
#   Meta/soak-with-fault.sh FAULT [SOAK OPTIONS]
set -euo pipefail
cd "$(dirname "$0")/.."
fault=$1
shift
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z -- CMakeLists.txt Libraries Services platform Meta/CMake |
  xargs -0 cp --parents -t "$copy"
patch_file=$PWD/Tests/Soak/Faults/$fault.patch
(cd "$copy" && git apply "$patch_file")
cmake -S "$copy" -B "$copy/target" -DCMAKE_BUILD_TYPE=Release \
  -DCOLTSFOOTDALE_EDGE_ONLY=ON >/dev/null
cmake --build "$copy/target" -j"$(nproc)" --target coltsfootdale-edge >/dev/null
build/Tests/Soak/EdgeSoak \
  --program "$copy/target/Services/Edge/coltsfootdale-edge" "$@"
