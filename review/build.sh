#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild stand-ins/line-platform/src/index.ts \
  --bundle --platform=node --target=node20 --format=esm --log-level=warning \
  --outfile=target/review/linePlatform.mjs
