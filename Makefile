PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: quickstart test check

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade pip
	$(BIN)/pip install --quiet -e '.[load,dev]'
	touch $@

quickstart: $(VENV)/.installed
	$(BIN)/peridotmast quickstart --once

test: $(VENV)/.installed
	PYTHONWARNINGS=ignore $(BIN)/behave --format progress --no-capture features

check: $(VENV)/.installed
	$(BIN)/ruff format --check src features tools
	$(BIN)/flake8 src features tools
	$(BIN)/mypy
	PATH="$(CURDIR)/$(BIN):$$PATH" tools/check_generated.sh
	$(BIN)/python tools/pages.py --check
	$(BIN)/python tools/wire_names.py
	$(BIN)/python tools/layers.py
	$(BIN)/python tools/mutate.py --check
