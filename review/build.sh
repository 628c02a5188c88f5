#!/bin/sh
# The stand-ins use the standard library alone: only check that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'from review import bed'
