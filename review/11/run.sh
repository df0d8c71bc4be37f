#!/bin/sh
cd "$(dirname "$0")" && exec env PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1 python3 case.py
