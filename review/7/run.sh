#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=".:target/deps" exec python3 -m review.7.case
