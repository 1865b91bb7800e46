#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are plain JavaScript that imports only modules of Node.js.
# Checks that they can be parsed; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-3/*.js review/1[1-5]/*.js; do node --check "$file"; done
