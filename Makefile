PYTHON ?= python3

.PHONY: build test lint run clean

build: .venv/built

.venv/built: requirements.txt requirements-lab.txt requirements-fleet.txt requirements-dev.txt pyproject.toml
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt -e .
	touch $@

test: build
	.venv/bin/python -m pytest -q -n 4

lint: build
	.venv/bin/ruff check oakfork tests experiments
	.venv/bin/ruff format --check oakfork tests experiments

# LB_CONFIG names the configuration, e.g.: make run LB_CONFIG=config.json
run: build
	LB_CONFIG=$(LB_CONFIG) .venv/bin/python -m oakfork

clean:
	rm -rf .venv
