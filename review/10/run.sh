#!/usr/bin/env bash
# Runs the case; exit code 1 if the rule was broken, 0 if it held, else 2.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/review"
python3 -B review/10/case.py
code=$?
[ "$code" -le 1 ] && [ -n "$(tail -n 1 review/10/record.txt)" ] &&
  tail -n 1 review/10/record.txt | grep -q -e 'BROKEN' -e 'the rule held' &&
  exit "$code"
exit 2
