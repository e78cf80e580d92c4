VENV ?= .venv
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.
export UV_USE_IO_URING := 0

SOAK_ARGS ?= --seed 1 --seeds 3

# Real processes under random faults; guarantees are checked from outside.
soak:
	$(PYTHON) -m soak $(SOAK_ARGS)

.PHONY: soak env check format test matrix prove run bench load slopes golden

env: $(VENV)/.installed

$(VENV)/.installed: constraints.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r constraints.txt
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation -e . || \
	$(PYTHON) -m pip install -q --no-deps -e .
	touch $@

format:
	$(PYTHON) -m ruff format src standins tools soak tests
	$(PYTHON) -m ruff check --fix src standins tools soak tests

check:
	$(PYTHON) -m ruff format --check src standins tools soak tests
	$(PYTHON) -m ruff check src standins tools soak tests
	$(PYTHON) -m mypy

# Tests at a time; each may start several processes.
TEST_JOBS ?= 3

# Tests marked "alone" bound memory or time of a whole machine, so nothing runs beside
# them.
test: env
	$(PYTHON) -m pytest -n $(TEST_JOBS) --dist worksteal -m "not matrix and not alone"
	$(PYTHON) -m pytest -m "alone and not matrix"

MATRIX_ARGS ?=

matrix:
	$(PYTHON) -m pytest tests/matrix -m "matrix or not matrix" $(MATRIX_ARGS)

MACHINES := tests/limits/test_shares_machine.py tests/recovery/test_takeover_machine.py \
	tests/bundle/test_feed.py tests/routing/test_queue.py tests/routing/test_quarantine.py
PROVE_FACTOR ?= 20
PROVE_SEEDS ?= 11 12 13

prove:
	PROVE_FACTOR=$(PROVE_FACTOR) $(PYTHON) -m pytest $(MACHINES)
	for seed in $(PROVE_SEEDS); do \
		MATRIX_SEED=$$seed $(MAKE) matrix VENV=$(VENV) || exit 1; \
	done

run: env
	$(PYTHON) -m tools.run_local $(RUN_ARGS)

LOAD_ARGS ?= --local 4 --programs 200

load:
	$(PYTHON) -m tools.load $(LOAD_ARGS)

bench:
	$(PYTHON) -m tools.bench $(BENCH_ARGS)

# Writes the files in tests/golden/sessions again; review their differences.
golden:
	GOLDEN=write $(PYTHON) -m pytest tests/golden

slopes:
	$(PYTHON) -m tools.slopes
