#!/usr/bin/env bash
# Checks that the stand-ins of the second review compile; they need nothing but
# Python's standard library.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q rig_2 6 7 8 9 10
