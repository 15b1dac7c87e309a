#!/usr/bin/env bash
export PYTHONDONTWRITEBYTECODE=1
exec timeout 110 python3 "$(dirname "$0")/case.py"
