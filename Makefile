PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
NAME ?=
SEED ?= 1
POLICY ?= all
NODES ?= 7
ENDPOINTS ?= 6
MINUTES ?= 1

.PHONY: setup demo test scenario scenarios bench relay-cost capacity soak process-soak format

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m tests.demo

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tests.runner

scenario: setup
	@test -n "$(NAME)" || { echo "usage: make scenario NAME=<name> SEED=<integer>"; exit 2; }
	@$(BIN)/python -m tests.scenarios run $(NAME) --seed $(SEED)

scenarios: setup
	@$(BIN)/python -m tests.scenarios list

soak: setup
	@$(BIN)/python -m tests.scenarios soak --minutes $(MINUTES) --seed $(SEED)

process-soak: setup
	@$(BIN)/python -W ignore -m tests.platform.process_soak --seed $(SEED)

bench: setup
	@$(BIN)/python -m tests.bench --policy=$(POLICY) --seed=$(SEED) --nodes=$(NODES) --endpoints=$(ENDPOINTS)
	@$(BIN)/python -m tests.platform.relay_cost

relay-cost: setup
	@$(BIN)/python -m tests.platform.relay_cost

capacity: setup
	@$(BIN)/python -m tests.capacity

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix --unsafe-fixes .
