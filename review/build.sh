#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python, so that compiling them is all.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins tests/platform/metadata_store.py
