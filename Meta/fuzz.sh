#!/usr/bin/env bash
# Builds the fuzz targets with clang into build-fuzz/ and runs each from a fixed
# seed. A failing input is stored in build-fuzz/. Arguments: the number of runs
# of each target (default 200000), then the targets to run (default all).
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-200000}
shift || true
targets=("$@")
[ ${#targets[@]} -gt 0 ] ||
  targets=(FuzzPacket FuzzPeerCodec FuzzDocument FuzzSettings
           FuzzCallerPacket FuzzStoreAnswer FuzzEdgeSettings
           FuzzFeedMessage FuzzLoadMessage)
cmake -S . -B build-fuzz -G Ninja -DCOLTSFOOTDALE_FUZZ=ON \
  -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build build-fuzz --target "${targets[@]}"
for target in "${targets[@]}"; do
  seeds=(build-fuzz/corpus-"$target")
  mkdir -p "${seeds[0]}"
  [ ! -d "Tests/Fuzz/Corpus/${target#Fuzz}" ] ||
    seeds+=("Tests/Fuzz/Corpus/${target#Fuzz}")
  echo "$target: $runs runs"
  "build-fuzz/Tests/Fuzz/$target" -seed=20261204 -runs="$runs" -max_len=4096 \
    -timeout=10 -rss_limit_mb=2048 -verbosity=0 -print_funcs=0 \
    -artifact_prefix=build-fuzz/ "${seeds[@]}"
done
