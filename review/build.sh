#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that need the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
'
