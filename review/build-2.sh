#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/world-2/build/. Needs
# g++ only.
set -euo pipefail
cd "$(dirname "$0")/world-2"
mkdir -p build
for source in *.cc; do
  [ "$source" = world.cc ] && continue
  g++ -std=c++20 -O1 -Wall -o "build/${source%.cc}" world.cc "$source" &
done
wait
for source in *.cc; do
  [ "$source" = world.cc ] || [ -x "build/${source%.cc}" ]
done
