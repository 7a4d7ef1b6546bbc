PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test lint format fuzz soak bench

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[dev]'
	touch $@

demo: install
	$(BIN)/python -m cowslipshift.demo

test: install
	$(BIN)/python -m pytest

fuzz: install
	COWSLIPSHIFT_FUZZ_EXAMPLES=2000 $(BIN)/python -m pytest tests/fuzz

soak: install
	COWSLIPSHIFT_SOAK_SEEDS=100-149 $(BIN)/python -m pytest tests/soak

lint: install
	$(BIN)/ruff format --check src tests bench examples
	$(BIN)/ruff check src tests bench examples
	$(BIN)/flake8 src tests bench examples
	$(BIN)/mypy

format: install
	$(BIN)/ruff format src tests bench examples
	$(BIN)/ruff check --fix src tests bench examples

bench: install
	$(BIN)/python -m bench --help
