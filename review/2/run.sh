#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/wisterialift.cjs ] && [ -f target/review/linePlatform.mjs ] || exit 2
exec node review/2/run.mjs
