#!/usr/bin/env bash
# Installs the packages that the build, the linter and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build clang-format clang-tidy
  librestinio-dev libasio-dev libcereal-dev libboost-dev libboost-log-dev
  libboost-program-options-dev libyaml-cpp-dev doctest-dev
  libhttp-parser-dev libfmt-dev libtins-dev librapidcheck-dev rapidjson-dev
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
