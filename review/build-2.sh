#!/bin/sh
# Prepares what the scripts of the second review start, without a network,
# after the build of the deploy file: the stand-ins are Python files that run
# with the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q \
  standins review/second review/6 review/7 review/8 review/9 review/10
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import review.second.bed'
