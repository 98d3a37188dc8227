#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs only
# g++; two of the sources are those of the project's own soak.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -I Libraries -I Tests -I Tests/Soak \
  review/harness/*.cc Tests/Soak/soak_packet.cc Tests/Soak/edge_child_process.cc \
  Libraries/LibBase/ipv4.cc Libraries/LibBase/hash.cc \
  -o target/review/review-case
