#!/usr/bin/env bash
# Builds the cases 11 to 15 with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.ts; do
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 \
    --format=esm --log-level=error --outfile="target/review-3/$number.mjs" \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
