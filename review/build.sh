#!/usr/bin/env bash
# The stand-ins and scripts are plain modules for Node.js; there is nothing to compile. Checks that they can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
