#!/usr/bin/env bash
# Prepares the cases 6 to 8. Their stand-ins are plain JavaScript in lib-2 and run as they are: they are only checked
# here. The version in production is built from the history (a full clone is needed).
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-8]/run.mjs; do node --check "$file"; done
node scripts/build-production.mjs || echo 'the version in production could not be built' >&2
