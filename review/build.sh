#!/usr/bin/env bash
# Builds what the cases need beside the build of the deploy file: the version in production, from the repository's
# history. The stand-ins in review/lib are plain JavaScript; they are checked only.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/build-production.mjs
for file in review/lib/*.mjs review/[0-9]/*.mjs; do node --check "$file"; done
