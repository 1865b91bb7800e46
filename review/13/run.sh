#!/usr/bin/env bash
# Plays case 13; TROUBLE=0 plays it without the disruption. The record is written to review/13/record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gateway.cjs ] || exit 2
exec node review/13/case.js
