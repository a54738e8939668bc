# Commands for people: `make run` to try it, `make test` and `make lint` to check it.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := src tests benchmarks

.PHONY: run test lint format lock clean

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/cicada-local

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/pyink --check -q $(SOURCES)
	$(BIN)/pylint $(SOURCES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/pyink -q $(SOURCES)

lock: $(STAMP)
	$(BIN)/python -m pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV)
