# Commands of the project; each makes its own environment from pyproject.toml.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: demo test lint unit proofs docs clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/marigoldchute-demo --seed $(SEED)

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m tools.run_tests

test: lint docs unit

proofs: $(VENV)/.installed
	$(BIN)/python -m tools.proofs $(if $(filter command line,$(origin SEED)),--seed $(SEED))

docs: $(VENV)/.installed
	$(BIN)/sphinx-build -q -W -b html docs docs/_build

.PHONY: bench bench-compare
bench: $(VENV)/.installed
	$(BIN)/python -m bench.run_all --seed $(SEED)

bench-compare: $(VENV)/.installed
	$(BIN)/python -m bench.compare $(A) $(B)

.PHONY: bench-path
bench-path: $(VENV)/.installed
	$(BIN)/python -m bench.bench_path --seed $(SEED)

.PHONY: bench-moves
bench-moves: $(VENV)/.installed
	$(BIN)/python -m bench.bench_moves --seed $(SEED)

.PHONY: bench-membership
bench-membership: $(VENV)/.installed
	$(BIN)/python -m bench.bench_membership

.PHONY: bench-distribution
bench-distribution: $(VENV)/.installed
	$(BIN)/python -m bench.bench_distribution --sizes 8 16 32 64 --seed $(SEED)

clean:
	rm -rf $(VENV)
