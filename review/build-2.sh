#!/usr/bin/env bash
# The stand-ins of the second review are plain JavaScript for Node in review/lib-2: nothing is compiled. Checks that Node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
    node --check "$file"
done
