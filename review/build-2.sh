#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: Python modules of
# review/ and of the project's standins/, on the dependencies in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -m compileall -q \
    review/holders.py review/loopback.py review/6 review/7 review/8 review/9 \
    review/10 standins
PYTHONPATH=.:target/deps python3 -c 'import review.holders, review.loopback'
