#!/usr/bin/env bash
# Installs missing packages, builds, and runs both users' deployments on this
# machine under load: for --seconds N, or until Ctrl-C with --keep.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
exec build/Utilities/LocalDeployment/LocalDeployment "$@"
