#!/bin/sh
# The stand-ins and scripts are plain JavaScript: this checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.js [0-9]*/*.js; do
  node --check "$file"
done
