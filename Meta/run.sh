#!/usr/bin/env bash
# Installs what is missing, builds, and runs both users' deployments on this
# machine under load: --seconds N, or --keep until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
exec build/Utilities/LocalDeployment/LocalDeployment "$@"
