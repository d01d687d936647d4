#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 11 on: plain Python files without dependencies.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins3
