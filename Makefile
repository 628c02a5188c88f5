PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup test-setup run up test lint format bench proto

# A missing wheel is an error at once, not a build that fails after minutes.
WHEELS := $(BIN)/pip install -q --disable-pip-version-check --only-binary :all:

setup: .venv/installed

test-setup: .venv/test-installed

.venv/installed: requirements.txt requirements-source.txt \
  packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(WHEELS) -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check \
	  -r requirements-source.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
	  -e packages/carawaymast-core -e packages/carawaymast-node \
	  -e packages/carawaymast-cli -e platform
	touch $@

.venv/test-installed: requirements-dev.txt .venv/installed
	$(WHEELS) -r requirements-dev.txt
	touch $@

run: setup
	$(BIN)/python -m standins.demo

up: setup
	$(BIN)/python -m standins.up

lint: test-setup
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .
	$(BIN)/flake8

format: test-setup
	$(BIN)/ruff format -q .
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

test: lint
	PYTHONHASHSEED=0 $(BIN)/python -m features.suite

# The generated files are committed; this is only for a change of the
# protocol and needs grpcio-tools==1.85.1 in the environment.
proto:
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I packages/carawaymast-node \
	  --python_out=packages/carawaymast-node \
	  --grpclib_python_out=packages/carawaymast-node \
	  packages/carawaymast-node/carawaymast_node/peer.proto \
	  packages/carawaymast-node/carawaymast_node/fabric.proto
