# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV ?= .venv
STAMP := $(VENV)/.installed

.PHONY: demo test check format environment

environment: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[bench,dev]'
	touch $(STAMP)

demo: $(STAMP)
	@$(VENV)/bin/orchidwind-bench demo

test: $(STAMP)
	$(VENV)/bin/python -m pytest

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
