#!/bin/bash
# Prepares the stand-ins of the cases 4 and later. They are plain modules that Node.js runs as they
# are and need no package, so that only their syntax is checked. The program under test is that of the
# deploy file and is built by its `build` line.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
