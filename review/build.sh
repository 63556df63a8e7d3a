#!/usr/bin/env bash
# Compiles the stand-ins and helpers that the scripts start. The build of the
# deploy file must have run; nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'END'
import compileall
import importlib
import sys

folders = ('standins', 'review')
if not all(compileall.compile_dir(folder, quiet=1) for folder in folders):
    sys.exit('a stand-in cannot be compiled')
for name in ('standins.__main__', 'standins.launching', 'review.rig.outcomes', 'review.rig.flood',
             'review.rig.store', 'review.rig.engines'):
    importlib.import_module(name)
END
