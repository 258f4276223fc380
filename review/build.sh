#!/usr/bin/env bash
# Builds what the cases need beside the build of the deploy file: the version in production, from the repository's
# history, for case 1. The stand-ins in review/lib are plain JavaScript; they are checked only.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/build-production.mjs ||
  echo "the version in production could not be built: case 1 starts the current one with earlier settings" >&2
for file in review/lib/*.mjs review/[0-9]/*.mjs; do node --check "$file"; done
