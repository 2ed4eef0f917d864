#!/bin/sh
# Checks the stand-ins and clients of the cases 11 to 15. They are Python 3 with its standard library only, so
# that nothing needs to be built; the nodes are built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
