#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs that need the standard library only, so they are
# compiled once, outside this folder, to show that they can run.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in standins-2/*.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    PYTHONPYCACHEPREFIX="$out" python3 -m py_compile "$file"
done
