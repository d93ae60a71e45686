# Set-up, checks, tests and benchmarks of turmerichall.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: bench-configuration-bytes bench-control-io bench-dispatch bench-in-force bench-log-size venv demo test check format bench-placement bench-requests bench-state bench-wire bench-history bench-losses bench-capacity bench-year

venv: $(VENV)/.ready

$(VENV)/.ready: requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq -r requirements-dev.lock
	$(BIN)/pip install -qq --no-deps --no-build-isolation -e .
	touch $@

demo: venv
	$(BIN)/python -m turmerichall.demo

test: venv
	$(BIN)/python -m pytest -n 6 --maxschedchunk 1 -m "not alone"
	$(BIN)/python -m pytest -m alone turmerichall/tests/test_stalling_crowds.py

format: venv
	$(BIN)/pyink --quiet turmerichall

check: venv
	$(BIN)/pyink --check --quiet turmerichall
	$(BIN)/pylint --score=n $$(find turmerichall -name "*.py")
	$(BIN)/mypy

bench-requests: venv
	$(BIN)/python -m turmerichall.benchmarks.requests

bench-placement: venv
	$(BIN)/python -m turmerichall.benchmarks.placement

bench-capacity: venv
	$(BIN)/python -m turmerichall.benchmarks.capacity --write docs/CAPACITY.md

bench-state: venv
	$(BIN)/python -m turmerichall.benchmarks.state

bench-wire: venv
	$(BIN)/python -m turmerichall.benchmarks.wire

bench-history: venv
	$(BIN)/python -m turmerichall.benchmarks.history --seeds 100

bench-losses: venv
	$(BIN)/python -m turmerichall.benchmarks.losses --seeds 10000

bench-in-force: venv
	$(BIN)/python -m turmerichall.benchmarks.in_force

bench-dispatch: venv
	$(BIN)/python -m turmerichall.benchmarks.dispatch

bench-control-io: venv
	$(BIN)/python -m turmerichall.benchmarks.control_io

bench-log-size: venv
	$(BIN)/python -m turmerichall.benchmarks.log_size

bench-configuration-bytes: venv
	$(BIN)/python -m turmerichall.benchmarks.configuration_bytes

bench-year: venv
	$(BIN)/python -m turmerichall.benchmarks.year
