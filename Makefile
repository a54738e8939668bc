# Commands for people: `make run` to try it, `make test` and `make lint` to check it.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := src tests benchmarks
SECONDS ?= 60
SEED ?= 1
# Processes that share the test files among them; 0 for one after the other.
TEST_WORKERS ?= 4
TEST_OPTIONS ?=

.PHONY: run test lint format fuzz soak node-soak lock clean

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/cicada-local

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadfile --durations 10 $(TEST_OPTIONS)

lint: $(STAMP)
	$(BIN)/pyink --check -q $(SOURCES)
	$(BIN)/pylint $(SOURCES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/pyink -q $(SOURCES)

fuzz: $(STAMP)
	$(BIN)/python tests/fuzz.py --seconds $(SECONDS)

soak: $(STAMP)
	$(BIN)/python tests/soak/run.py --seconds $(SECONDS) --seed $(SEED)

node-soak: $(STAMP)
	$(BIN)/python tests/soak/node_run.py --seconds $(SECONDS) --seed $(SEED)

lock: $(STAMP)
	$(BIN)/python -m pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV)
