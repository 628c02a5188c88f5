#!/bin/sh
# Install the pinned libraries and the workspace's packages in target/deps.
set -eu
deps=target/deps
if [ ! -e target/installed ] ||
  [ requirements.txt -nt target/installed ] ||
  [ requirements-source.txt -nt target/installed ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check \
    --only-binary :all: --target "$deps" -r requirements.txt
  python3 -m pip install -q --disable-pip-version-check \
    --target "$deps" -r requirements-source.txt
  touch target/installed
fi
for package in packages/carawaymast-core/carawaymast_core \
  packages/carawaymast-node/carawaymast_node \
  platform/carawaymast_platform; do
  rm -rf "$deps/$(basename "$package")"
  cp -R "$package" "$deps/"
done
# Processes may not write there; without this, each start would compile all
# modules again.
python3 -m compileall -q "$deps"
