# Each target except lock first installs the dependencies into $(VENV) if needed.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test check format lock

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

demo: $(VENV)/installed
	$(BIN)/cranklane-lab demo

test: $(VENV)/installed
	$(BIN)/python -m pytest -n auto -m "not crowd"
	$(BIN)/python -m pytest -m crowd

check: $(VENV)/installed
	$(BIN)/ruff format --check src tests platform
	$(BIN)/ruff check src tests platform
	$(BIN)/mypy
	$(BIN)/python -m cranklane.records.generate --check

format: $(VENV)/installed
	$(BIN)/ruff format src tests platform
	$(BIN)/ruff check --fix src tests platform

lock:
	$(BIN)/pip freeze --exclude-editable > requirements.lock
