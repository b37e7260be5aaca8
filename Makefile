# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
# Processes that play tests on virtual time; one a processor.
WORKERS ?= auto
STAMP := $(VENV)/.installed

.PHONY: demo test check format environment

environment: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[bench,dev]'
	touch $(STAMP)

demo: $(STAMP)
	@$(VENV)/bin/orchidwind-bench demo

# Tests with real processes and a machine's clock run by themselves, the others in parallel.
test: $(STAMP)
	$(VENV)/bin/python -m pytest -n $(WORKERS) --ignore=tests/elected --ignore=tests/promoted/soak
	$(VENV)/bin/python -m pytest tests/elected
	$(VENV)/bin/python -m pytest tests/promoted/soak

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
