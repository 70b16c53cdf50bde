PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo demo-lifti demo-platform test lint format capacity

setup: $(STAMP)

$(STAMP): requirements-dev.txt constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	BIN=$(BIN) bash tools/demo.sh examples/landesstelle.toml

demo-lifti: $(STAMP)
	BIN=$(BIN) bash tools/demo.sh examples/lifti.toml

demo-platform: $(STAMP)
	cd platform && ../$(BIN)/python -m tests.soak.run --seeds 1 --seconds 10 --table

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform tools
	$(BIN)/flake8 packages platform tools
	$(BIN)/mypy -p yuccarill.core -p yuccarill.wire -p yuccarill.platform \
		-p yuccarill.daemon.gateway
	$(BIN)/python tools/capacity.py --check

format: $(STAMP)
	$(BIN)/ruff format packages platform tools

capacity: $(STAMP)
	$(BIN)/python tools/capacity.py
