#!/usr/bin/env bash
# The stand-ins are plain JavaScript that Node.js runs as it is: this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
