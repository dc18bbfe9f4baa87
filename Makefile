PYTHON = .venv/bin/python

.PHONY: build test lint run

build: .venv/stamp

.venv/stamp: requirements.txt requirements-tools.txt requirements-dev.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	$(PYTHON) -m quartzrouter
