#!/usr/bin/env bash
# Builds the scripts of the cases 6 to 10 with their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/{6,7,8,9,10}/run.ts; do
  if [ -f "$script" ]; then
    case="$(basename "$(dirname "$script")")"
    node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 \
      --format=esm --log-level=error --outfile="target/review-2/$case.mjs"
  fi
done
