#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can run with what the deploy file's
# build has put into target/deps; there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import harness'
for case_file in review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case_file"
done
