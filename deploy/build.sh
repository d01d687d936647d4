#!/usr/bin/env bash
# Installs the run-time libraries and the package into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! [ "$stamp" -nt requirements-run.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target "$deps" -r requirements-run.txt
    touch "$stamp"
fi
rm -rf "$deps/crocuswick"
cp -r src/crocuswick "$deps/crocuswick"
python3 -m compileall -q "$deps/crocuswick"
