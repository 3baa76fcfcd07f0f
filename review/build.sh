#!/bin/sh
# Builds the stand-ins of the scripts. They are plain JavaScript without dependencies, so there is nothing to compile; this checks
# that each file can be read. The entries are built by the command of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [123]/*.mjs; do
    node --check "$file" || exit 1
done
