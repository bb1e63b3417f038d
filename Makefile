# The two commands of a newcomer are `make demo` and `make test`; both set up what they need.
VENV := .venv
BIN := $(VENV)/bin
# Tests wait more than they compute, so that several at a time take a fraction of the time.
WORKERS := 4

.PHONY: demo test lint format bench campaign processes clean

$(VENV)/.ready: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/rackswitch-demo

test: $(VENV)/.ready
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy rackswitch

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.ready
	for script in benchmarks/bench_*.py; do $(BIN)/python $$script || exit 1; done

campaign: $(VENV)/.ready
	$(BIN)/rackswitch-load campaign --minutes=$(or $(MINUTES),5) --seed=$(or $(SEED),1)

processes: $(VENV)/.ready
	PATH=$(CURDIR)/$(BIN):$$PATH bash examples/start_processes.sh
