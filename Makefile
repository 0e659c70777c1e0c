PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Names the interpreter and the kind of machine: an environment made by others is made anew.
PLATFORM := $(shell $(PYTHON) -c "import platform, sys; \
	print(sys.implementation.cache_tag, platform.machine(), sep='-')")
STAMP := $(VENV)/.installed-$(PLATFORM)

.PHONY: demo test lint format bench capacity soak clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: $(STAMP)
	$(BIN)/hornbeamreach demo --example=examples/brettwerk.toml

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/black --check --quiet src tests benches soak
	$(BIN)/ruff check --quiet src tests benches soak

format: $(STAMP)
	$(BIN)/black --quiet src tests benches soak
	$(BIN)/ruff check --quiet --fix src tests benches soak

bench: $(STAMP)
	$(BIN)/python -m benches.policies
	$(BIN)/python -m benches.ticks
	$(BIN)/python -m benches.turn_load
	$(BIN)/python -m benches.entry
	$(BIN)/python -m benches.idle

# SEED=N DURATION_S=S select the faults and the length.
soak: $(STAMP)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --duration-s $(or $(DURATION_S),60)

clean:
	rm -rf $(VENV) build bench-out

capacity: $(STAMP)
	$(BIN)/python -m benches.capacity
